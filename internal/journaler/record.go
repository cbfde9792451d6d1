package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of a header and a payload. The header contains the magic
// number, the payload length in bytes and the checksum of length and payload,
// each as a 4-byte big-endian integer.
const (
	recordMagic      = 0xCA20B70C
	recordHeaderSize = 12        // bytes
	maxPayloadSize   = 256 << 20 // limit for the payload, bytes
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(header, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoliTable, header[4:8])
	return crc32.Update(sum, castagnoliTable, payload)
}

// appendRecord appends a record with the given payload to buf and returns the
// extended buffer.
func appendRecord(buf, payload []byte) []byte {
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[0:], recordMagic)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], checksum(header[:], payload))
	buf = append(buf, header[:]...)
	return append(buf, payload...)
}

// decodeRecord decodes the record at the start of data and returns its payload
// and the size of the whole record in bytes. The size is zero if there is no
// valid record.
func decodeRecord(data []byte) (payload []byte, size int) {
	if len(data) < recordHeaderSize {
		return nil, 0
	}
	if binary.BigEndian.Uint32(data) != recordMagic {
		return nil, 0
	}
	payloadSize := int(binary.BigEndian.Uint32(data[4:]))
	if payloadSize > maxPayloadSize || recordHeaderSize+payloadSize > len(data) {
		return nil, 0
	}
	payload = data[recordHeaderSize : recordHeaderSize+payloadSize]
	if binary.BigEndian.Uint32(data[8:]) != checksum(data[:recordHeaderSize], payload) {
		return nil, 0
	}
	return payload, recordHeaderSize + payloadSize
}

// containsRecord reports whether a valid record starts at any offset in data.
func containsRecord(data []byte) bool {
	for i := 0; i+recordHeaderSize <= len(data); i++ {
		if data[i] != recordMagic>>24 {
			continue
		}
		if _, size := decodeRecord(data[i:]); size > 0 {
			return true
		}
	}
	return false
}
