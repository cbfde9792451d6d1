package locator

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/sha256"
	"io"
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
	// maxHeldVersions and maxHeldBytes bound the compressed configurations that a leader
	// holds. The versions that appear during a transfer of some seconds are well below
	// this number.
	maxHeldVersions = 32
	maxHeldBytes    = 16 << 20
)

// firstPart is the response to a watch call of a newer configuration, with the start of
// its compressed form.
type firstPart struct {
	Version int64 `cbor:"1,keyasint"`
	// Size and Digest are those of the whole compressed form.
	Size   int    `cbor:"2,keyasint"`
	Digest []byte `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
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

// compress returns the compressed form of c without its Document.
func compress(c *carobrock.Configuration) ([]byte, error) {
	withoutDocument := *c
	withoutDocument.Document = nil
	plain, err := cbor.Marshal(&withoutDocument)
	if err != nil {
		return nil, err
	}
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
func decompress(data []byte) (*carobrock.Configuration, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxConfigurationBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxConfigurationBytes {
		return nil, eris.New("locator: the uncompressed configuration exceeds the limit")
	}
	c := &carobrock.Configuration{}
	if err := cbor.Unmarshal(plain, c); err != nil {
		return nil, err
	}
	return c, nil
}

// compressedConfiguration is the compressed form of one version.
type compressedConfiguration struct {
	version int64
	data    []byte
	digest  [sha256.Size]byte
	usedAt  uint64 // value of partServer.uses at the last use
}

// part returns the part that starts at offset, empty if there is none.
func (f *compressedConfiguration) part(offset int) []byte {
	if offset < 0 || offset >= len(f.data) {
		return nil
	}
	return f.data[offset:min(len(f.data), offset+partBytes)]
}

// partServer serves the configuration of control in parts. It compresses each version
// once and holds the forms that were used last.
type partServer struct {
	control carobrock.JobControl

	mu        sync.Mutex
	held      map[int64]*compressedConfiguration // by version
	heldBytes int
	uses      uint64
}

// watch waits like WatchConfiguration and returns the first part of the newer
// configuration, nil if there is none.
func (s *partServer) watch(ctx context.Context, afterVersion int64) (*firstPart, error) {
	c, err := s.control.WatchConfiguration(ctx, afterVersion)
	if c == nil || err != nil {
		return nil, err
	}
	f, err := s.form(c)
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
	}
	return &firstPart{Version: f.version, Size: len(f.data), Digest: f.digest[:], Data: f.part(0)}, nil
}

// serve returns the requested part. It fails if this replica is not the leader, and
// serves the configuration in force also if it has not served its first part: that came
// from the previous leader.
func (s *partServer) serve(ctx context.Context, r *partRequest) (*partResponse, error) {
	c, err := s.control.Configuration(ctx)
	if err != nil {
		return nil, err
	}
	f := s.heldForm(r.Version)
	if f == nil && c != nil && c.Version == r.Version {
		if f, err = s.form(c); err != nil {
			return nil, eris.Wrap(carobrock.ErrRefused, err.Error())
		}
	}
	if f == nil || !bytes.Equal(f.digest[:], r.Digest) {
		return &partResponse{}, nil
	}
	return &partResponse{Data: f.part(r.Offset)}, nil
}

// heldForm returns the form of a version, nil if it is not held.
func (s *partServer) heldForm(version int64) *compressedConfiguration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.use(version)
}

// use returns the form of a version and records its use. The caller holds s.mu.
func (s *partServer) use(version int64) *compressedConfiguration {
	f := s.held[version]
	if f != nil {
		s.uses++
		f.usedAt = s.uses
	}
	return f
}

// form returns the form of c and holds it.
func (s *partServer) form(c *carobrock.Configuration) (*compressedConfiguration, error) {
	// The lock is held while c is compressed: all gateways ask for a new version at the
	// same time.
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.use(c.Version); f != nil {
		return f, nil
	}
	data, err := compress(c)
	if err != nil {
		return nil, err
	}
	f := &compressedConfiguration{version: c.Version, data: data, digest: sha256.Sum256(data)}
	if s.held == nil {
		s.held = map[int64]*compressedConfiguration{}
	}
	s.held[c.Version] = f
	s.heldBytes += len(data)
	s.use(c.Version)
	for len(s.held) > 1 && (len(s.held) > maxHeldVersions || s.heldBytes > maxHeldBytes) {
		s.dropLeastRecentlyUsed()
	}
	return f, nil
}

// dropLeastRecentlyUsed removes one form. The caller holds s.mu.
func (s *partServer) dropLeastRecentlyUsed() {
	var oldest *compressedConfiguration
	for _, f := range s.held {
		if oldest == nil || f.usedAt < oldest.usedAt {
			oldest = f
		}
	}
	delete(s.held, oldest.version)
	s.heldBytes -= len(oldest.data)
}
