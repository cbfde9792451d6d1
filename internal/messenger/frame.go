package messenger

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxFrameBytes is the maximum size of a frame. The largest frames carry
// snapshots.
const maxFrameBytes = 256 << 20

// maxTrustedFrameBytes is the largest size for which memory is allocated before the
// content of a frame has arrived. Another program may write to the same port.
const maxTrustedFrameBytes = 256 << 10

// ErrFrameTooLarge reports that a frame to be sent or received exceeds the
// maximum size.
var ErrFrameTooLarge = eris.New("messenger: frame exceeds the maximum size")

// writeFrame writes m, preceded by its length as a big-endian 32-bit integer.
func writeFrame(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	if size > maxFrameBytes {
		return ErrFrameTooLarge
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+size), uint32(size))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

// readFrame reads one frame into m.
func readFrame(r io.Reader, m proto.Message) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return ErrFrameTooLarge
	}
	body := &bytes.Buffer{}
	body.Grow(int(min(size, maxTrustedFrameBytes)) + bytes.MinRead)
	if n, err := io.Copy(body, io.LimitReader(r, int64(size))); err != nil || n < int64(size) {
		return cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return proto.Unmarshal(body.Bytes(), m)
}
