package locator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/messenger"
)

var (
	_ carobrock.TransferWatcher       = (*Locator)(nil)
	_ carobrock.TransferWatcher       = (*LocalFirstControl)(nil)
	_ carobrock.ConfigurationTransfer = (*transfer)(nil)
)

// codeUnknownMethod is the error code of the messenger for a method that the other
// process does not know.
const codeUnknownMethod = "unknownMethod"

func isUnknownMethod(err error) bool {
	var remote *messenger.RemoteError
	return errors.As(err, &remote) && remote.Code == codeUnknownMethod
}

// WatchTransfer implements carobrock.TransferWatcher. A leader that is too old to serve
// parts returns the whole configuration.
func (l *Locator) WatchTransfer(ctx context.Context, afterVersion int64, base *carobrock.Configuration) (*carobrock.Configuration, carobrock.ConfigurationTransfer, error) {
	var first *firstPart
	err := l.callLeader(ctx, methodWatchParts, &watchRequest{AfterVersion: afterVersion, HasBase: base != nil}, &first)
	if isUnknownMethod(err) {
		c, err := l.WatchConfiguration(ctx, afterVersion)
		return c, nil, err
	}
	if first == nil || err != nil {
		return nil, nil, err
	}
	if first.Size <= 0 || first.Size > maxConfigurationBytes || len(first.Digest) != sha256.Size {
		return nil, nil, eris.Wrapf(carobrock.ErrTransferLost, "first part of a configuration of %d bytes is not valid", first.Size)
	}
	if !first.IsDifference {
		base = nil
	}
	t := &transfer{base: base, locator: l, request: partRequest{Version: first.Version, Digest: first.Digest}, size: first.Size}
	if err := t.add(first.Data); err != nil {
		return nil, nil, err
	}
	if t.isComplete() {
		c, err := t.configuration()
		return c, nil, err
	}
	return nil, t, nil
}

// transfer implements carobrock.ConfigurationTransfer.
type transfer struct {
	locator *Locator
	request partRequest // of the next part; Offset is the size of data
	size    int
	data    []byte
	base    *carobrock.Configuration // of the difference, nil if there is none
}

func (t *transfer) isComplete() bool { return len(t.data) == t.size }

// add appends a part.
func (t *transfer) add(part []byte) error {
	if len(part) == 0 || len(part) > partBytes || len(part) > t.size-len(t.data) {
		return eris.Wrapf(carobrock.ErrTransferLost, "part of %d bytes at offset %d of %d", len(part), len(t.data), t.size)
	}
	t.data = append(t.data, part...)
	t.request.Offset = len(t.data)
	return nil
}

// configuration returns the complete configuration.
func (t *transfer) configuration() (*carobrock.Configuration, error) {
	if digest := sha256.Sum256(t.data); !bytes.Equal(digest[:], t.request.Digest) {
		return nil, eris.Wrap(carobrock.ErrTransferLost, "the parts do not match the digest")
	}
	c, err := decodeForm(t.data, t.base)
	if err != nil {
		return nil, eris.Wrap(carobrock.ErrTransferLost, err.Error())
	}
	if c.Version != t.request.Version {
		return nil, eris.Wrapf(carobrock.ErrTransferLost, "version %d, want %d", c.Version, t.request.Version)
	}
	return c, nil
}

// decodeForm returns the configuration of a compressed form, which is a difference if
// base is not nil.
func decodeForm(data []byte, base *carobrock.Configuration) (*carobrock.Configuration, error) {
	plain, err := decompress(data)
	if err != nil {
		return nil, err
	}
	if base == nil {
		c := &carobrock.Configuration{}
		return c, cbor.Unmarshal(plain, c)
	}
	d := &difference{}
	if err := cbor.Unmarshal(plain, d); err != nil {
		return nil, err
	}
	return d.apply(base)
}

// Next implements carobrock.ConfigurationTransfer.
func (t *transfer) Next(ctx context.Context) (*carobrock.Configuration, error) {
	var response partResponse
	err := t.locator.callLeader(ctx, methodPart, &t.request, &response)
	if isUnknownMethod(err) {
		return nil, eris.Wrap(carobrock.ErrTransferLost, err.Error()) // a new leader of an older build
	}
	if err != nil {
		return nil, err
	}
	if err := t.add(response.Data); err != nil || !t.isComplete() {
		return nil, err
	}
	return t.configuration()
}

// WatchTransfer implements carobrock.TransferWatcher. The local replica, if it is the
// leader, returns the whole configuration.
func (n *LocalFirstControl) WatchTransfer(ctx context.Context, afterVersion int64, base *carobrock.Configuration) (*carobrock.Configuration, carobrock.ConfigurationTransfer, error) {
	c, err := n.Local.WatchConfiguration(ctx, afterVersion)
	if n.shouldForward(err) {
		return n.Remote.WatchTransfer(ctx, afterVersion, base)
	}
	return c, nil, err
}
