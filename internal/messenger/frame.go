package messenger

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxFrameBytes is the maximum size of a frame. The largest frames carry
// snapshots.
const maxFrameBytes = 256 << 20

// Sizes of the parts in which a frame is held until it is complete. Only for one part is
// memory allocated before its content has arrived: another program may write to the same
// port.
const (
	firstPartBytes       = 4 << 10
	maxTrustedFrameBytes = 256 << 10
)

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
	parts, size, err := readParts(r, maxFrameBytes)
	if err != nil {
		return err
	}
	return proto.Unmarshal(join(parts, size), m)
}

// readParts reads one frame of at most max bytes in parts. Memory for a part is
// allocated when the previous one is full.
func readParts(r io.Reader, max uint32) (parts [][]byte, size int, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	announced := binary.BigEndian.Uint32(header[:])
	if announced > max {
		return nil, 0, ErrFrameTooLarge
	}
	size = int(announced)
	for rest, next := size, firstPartBytes; rest > 0; next = min(2*next, maxTrustedFrameBytes) {
		part := make([]byte, min(rest, next))
		if _, err := io.ReadFull(r, part); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, err
		}
		parts, rest = append(parts, part), rest-len(part)
	}
	return parts, size, nil
}

// join returns the content of a frame of size bytes. It copies it only if it consists of
// several parts.
func join(parts [][]byte, size int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	frame := make([]byte, 0, size)
	for _, part := range parts {
		frame = append(frame, part...)
	}
	return frame
}
