package messenger

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxFrameBytes is the maximum size of a frame. The largest frames carry
// snapshots.
const maxFrameBytes = 256 << 20

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
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	return proto.Unmarshal(buf, m)
}
