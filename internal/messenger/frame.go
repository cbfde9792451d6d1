package messenger

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxFrameBytes bounds a frame; the largest is a snapshot.
const maxFrameBytes = 256 << 20

// ErrFrameTooLarge reports that the other side sent, or is about to be sent, a frame above
// the limit.
var ErrFrameTooLarge = eris.New("messenger: frame too large")

// writeFrame writes m with its length in front.
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

// readFrame reads a frame into m.
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
