package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header followed by the payload. The header holds the magic
// number, the payload's length and the checksum of length and payload, four
// bytes each, big endian.
const (
	recordMagic      = 0xCA20B70C
	recordHeaderSize = 12 // bytes
	maxRecordSize    = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(header, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, header[4:8])
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecord returns buf with a record of payload appended.
func appendRecord(buf, payload []byte) []byte {
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[0:], recordMagic)
	binary.BigEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(header[8:], checksum(header[:], payload))
	buf = append(buf, header[:]...)
	return append(buf, payload...)
}

// cutRecord returns the payload of the record that data begins with and the
// record's whole size. The size is zero if there is no valid record.
func cutRecord(data []byte) (payload []byte, size int) {
	if len(data) < recordHeaderSize {
		return nil, 0
	}
	if binary.BigEndian.Uint32(data) != recordMagic {
		return nil, 0
	}
	n := int(binary.BigEndian.Uint32(data[4:]))
	if n > maxRecordSize || recordHeaderSize+n > len(data) {
		return nil, 0
	}
	payload = data[recordHeaderSize : recordHeaderSize+n]
	if binary.BigEndian.Uint32(data[8:]) != checksum(data[:recordHeaderSize], payload) {
		return nil, 0
	}
	return payload, recordHeaderSize + n
}

// hasRecord reports whether a valid record begins anywhere in data.
func hasRecord(data []byte) bool {
	for i := 0; i+recordHeaderSize <= len(data); i++ {
		if data[i] != recordMagic>>24 {
			continue
		}
		if _, size := cutRecord(data[i:]); size > 0 {
			return true
		}
	}
	return false
}
