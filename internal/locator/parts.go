package locator

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

const (
	// partBytes is the maximum size of a part. A link of 2 Mbit/s carries one in 0.13 s,
	// for which the responses to other calls wait behind it.
	partBytes = 32 << 10
	// maxConfigurationBytes bounds the size of a configuration without its Document, both
	// encoded and compressed.
	maxConfigurationBytes = 64 << 20
	// maxForms and maxFormBytes bound the compressed forms that a leader holds. The forms
	// that appear during a transfer of some seconds are well below this number.
	maxForms     = 64
	maxFormBytes = 16 << 20
	// maxRecent and maxRecentQueues bound the versions that a leader holds as bases of
	// differences.
	maxRecent       = 8
	maxRecentQueues = 50_000
	// noBase is in the place of the version of a base if there is none.
	noBase = -1
)

// watchRequest waits for a version newer than AfterVersion. HasBase is set if the caller
// has that version and accepts a difference to it.
type watchRequest struct {
	AfterVersion int64 `cbor:"1,keyasint"`
	HasBase      bool  `cbor:"2,keyasint"`
}

// firstPart is the response to a watch call of a newer configuration, with the start of
// its compressed form.
type firstPart struct {
	Version int64 `cbor:"1,keyasint"`
	// Size and Digest are those of the whole compressed form.
	Size   int    `cbor:"2,keyasint"`
	Digest []byte `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
	// IsDifference is set if the form is that of the difference to the caller's version.
	IsDifference bool `cbor:"5,keyasint"`
}

// partRequest asks for the part of a compressed form that starts at Offset.
type partRequest struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  []byte `cbor:"2,keyasint"`
	Offset  int    `cbor:"3,keyasint"`
}

// partResponse is the response to a partRequest. Data is empty if the leader has no such
// form.
type partResponse struct {
	Data []byte `cbor:"1,keyasint"`
}

// compress returns the compressed form of an encoding.
func compress(plain []byte) ([]byte, error) {
	if len(plain) > maxConfigurationBytes {
		return nil, eris.Errorf("locator: configuration of %d bytes, the limit is %d", len(plain), maxConfigurationBytes)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompress is the inverse of compress.
func decompress(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfigurationBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxConfigurationBytes {
		return nil, eris.New("locator: the uncompressed configuration exceeds the limit")
	}
	return plain, nil
}

// compressedForm is the compressed form of one version or of its difference to a base.
type compressedForm struct {
	version int64
	base    int64 // noBase for a whole configuration
	data    []byte
	digest  [sha256.Size]byte
	usedAt  uint64 // value of partServer.uses at the last use
}

// part returns the part that starts at offset, empty if there is none.
func (f *compressedForm) part(offset int) []byte {
	if offset < 0 || offset >= len(f.data) {
		return nil
	}
	return f.data[offset:min(len(f.data), offset+partBytes)]
}

// partServer serves the configuration of control in parts. It compresses each form once
// and holds those that were used last.
type partServer struct {
	control carobrock.JobControl

	mu        sync.Mutex
	forms     []*compressedForm
	formBytes int
	uses      uint64
	// recent holds the newest versions that were served, the newest last. They are the
	// bases of differences.
	recent       []*carobrock.Configuration
	recentQueues int
}

// watch waits like WatchConfiguration and returns the first part of the newer
// configuration, nil if there is none.
func (s *partServer) watch(ctx context.Context, r *watchRequest) (*firstPart, error) {
	c, err := s.control.WatchConfiguration(ctx, r.AfterVersion)
	if c == nil || err != nil {
		return nil, err
	}
	base := r.AfterVersion
	if !r.HasBase {
		base = noBase
	}
	f, err := s.form(c, base)
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	return &firstPart{Version: f.version, Size: len(f.data), Digest: f.digest[:], Data: f.part(0), IsDifference: f.base != noBase}, nil
}

// serve returns the requested part. It fails if this replica is not the leader, and
// serves the configuration in force also if it has not served its first part: that came
// from the previous leader.
func (s *partServer) serve(ctx context.Context, r *partRequest) (*partResponse, error) {
	c, err := s.control.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	f := s.formByDigest(r.Digest)
	if f == nil && c != nil && c.Version == r.Version {
		if f, err = s.form(c, noBase); err != nil {
			return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
		}
	}
	if f == nil || !bytes.Equal(f.digest[:], r.Digest) {
		return &partResponse{}, nil
	}
	return &partResponse{Data: f.part(r.Offset)}, nil
}

// formByDigest returns the form with a digest, nil if it is not held.
func (s *partServer) formByDigest(digest []byte) *compressedForm {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.forms {
		if bytes.Equal(f.digest[:], digest) {
			return s.use(f)
		}
	}
	return nil
}

// use records the use of a form and returns it. The caller holds s.mu.
func (s *partServer) use(f *compressedForm) *compressedForm {
	s.uses++
	f.usedAt = s.uses
	return f
}

// form returns the form of the difference between the version base and c, or that of c
// if the base is not held, and holds it.
func (s *partServer) form(c *carobrock.Configuration, base int64) (*compressedForm, error) {
	// The lock is held while c is compressed: all gateways ask for a new version at the
	// same time.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRecent(c)
	baseConfiguration := s.recentVersion(base)
	if baseConfiguration == nil {
		base = noBase
	}
	for _, f := range s.forms {
		if f.version == c.Version && f.base == base {
			return s.use(f), nil
		}
	}
	plain, err := encodeForm(baseConfiguration, c)
	if err != nil {
		return nil, err
	}
	data, err := compress(plain)
	if err != nil {
		return nil, err
	}
	f := s.use(&compressedForm{version: c.Version, base: base, data: data, digest: sha256.Sum256(data)})
	s.forms = append(s.forms, f)
	s.formBytes += len(data)
	for len(s.forms) > 1 && (len(s.forms) > maxForms || s.formBytes > maxFormBytes) {
		s.dropLeastRecentlyUsed()
	}
	return f, nil
}

// encodeForm returns the encoding of c, or of its difference to base if that is not nil.
func encodeForm(base, c *carobrock.Configuration) ([]byte, error) {
	if base == nil {
		return encode(c)
	}
	d, err := newDifference(base, c)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(d)
}

// addRecent adds c to the recent versions if it is newer. The caller holds s.mu.
func (s *partServer) addRecent(c *carobrock.Configuration) {
	if n := len(s.recent); n > 0 && s.recent[n-1].Version >= c.Version {
		return
	}
	s.recent = append(s.recent, c)
	s.recentQueues += len(c.Queues)
	for len(s.recent) > 1 && (len(s.recent) > maxRecent || s.recentQueues > maxRecentQueues) {
		s.recentQueues -= len(s.recent[0].Queues)
		s.recent = slices.Delete(s.recent, 0, 1)
	}
}

// recentVersion returns a recent version, nil if it is not held. The caller holds s.mu.
func (s *partServer) recentVersion(version int64) *carobrock.Configuration {
	for _, c := range s.recent {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// dropLeastRecentlyUsed removes one form. The caller holds s.mu.
func (s *partServer) dropLeastRecentlyUsed() {
	oldest := 0
	for i, f := range s.forms {
		if f.usedAt < s.forms[oldest].usedAt {
			oldest = i
		}
	}
	s.formBytes -= len(s.forms[oldest].data)
	s.forms = slices.Delete(s.forms, oldest, oldest+1)
}
