package messenger

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/carobrock/carobrock/internal/encoder"
)

var byteOrder = binary.BigEndian

const (
	// bytesPerMessage is the memory of a message within a message, with its pointer.
	bytesPerMessage = 160
	// A message may contain maxEmptyMessages messages, and one more for each
	// minMessageBytes of its size: an entry of the log with a command is longer.
	maxEmptyMessages = 1024
	minMessageBytes  = 32
	// bytesPerItem is the memory that a value in the body of a call takes when it is
	// decoded: at most that of a step of a job, if it is an empty map.
	bytesPerItem = 256
)

// countMessages returns the number of messages within a message, without decoding it.
func countMessages(data []byte, d protoreflect.MessageDescriptor) (n int, err error) {
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeField(data)
		if size < 0 {
			return 0, protowire.ParseError(size)
		}
		if f := d.Fields().ByNumber(number); f != nil && kind == protowire.BytesType && f.Kind() == protoreflect.MessageKind {
			_, _, tag := protowire.ConsumeTag(data)
			value, _ := protowire.ConsumeBytes(data[tag:size])
			inner, err := countMessages(value, f.Message())
			if err != nil {
				return 0, err
			}
			n += 1 + inner
		}
		data = data[size:]
	}
	return n, nil
}

// callBody returns the body of an encoded call, nil if it has none.
func callBody(call []byte) (body []byte) {
	field := (&encoder.Call{}).ProtoReflect().Descriptor().Fields().ByName("body").Number()
	for len(call) > 0 {
		number, kind, tag := protowire.ConsumeTag(call)
		if tag < 0 {
			return nil
		}
		size := protowire.ConsumeFieldValue(number, kind, call[tag:])
		if size < 0 {
			return nil
		}
		if number == field && kind == protowire.BytesType {
			body, _ = protowire.ConsumeBytes(call[tag:])
		}
		call = call[tag+size:]
	}
	return body
}

// Major types of CBOR (RFC 8949), in the upper three bits of an item's first byte, and
// the values of the lower five bits that announce bytes with the argument.
const (
	cborTypeShift  = 5
	cborInfoMask   = 1<<cborTypeShift - 1
	cborBytes      = 2
	cborText       = 3
	cborOneByte    = 24
	cborEightBytes = 27
)

// countItems returns the number of items of an encoded value in CBOR, without decoding
// it. It stops where the value is cut short.
func countItems(data []byte) (n int) {
	for len(data) > 0 {
		n++
		kind, info := data[0]>>cborTypeShift, data[0]&cborInfoMask
		data = data[1:]
		argument := uint64(info)
		if info >= cborOneByte && info <= cborEightBytes {
			size := 1 << (info - cborOneByte)
			if len(data) < size {
				return n
			}
			argument = 0
			for _, b := range data[:size] {
				argument = argument<<8 | uint64(b)
			}
			data = data[size:]
		}
		if kind == cborBytes || kind == cborText {
			if argument > uint64(len(data)) {
				return n
			}
			data = data[argument:]
		}
	}
	return n
}
