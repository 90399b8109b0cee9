package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A group of changes is stored behind a header: four bytes of magic, the length of the body, the sequence number of the
// group, the number up to which all groups were on disk when it was written, and a checksum of all but the magic. In a
// snapshot the groups are its chunks, counted from 0, and an empty one is the end.
const (
	groupLengthOffset   = 4
	groupSequenceOffset = 8
	groupDurableOffset  = 16
	groupChecksumOffset = 24
	groupHeaderSize     = 28

	maxGroupBody = 64 << 20 // bytes
)

var groupMagic = []byte("\xf1glf")

// emptyGroupBody is an empty list of changes in CBOR.
var emptyGroupBody = []byte{0x80}

// group is one group as it was read.
type group struct {
	sequence       uint64
	durableThrough uint64 // all groups up to this one were on disk when the group was written
	body           []byte
	size           int // of header and body, in bytes
}

// appendGroup appends the encoding of a group to data.
func appendGroup(data []byte, sequence, durableThrough uint64, body []byte) []byte {
	start := len(data)
	data = append(data, groupMagic...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, sequence)
	data = binary.BigEndian.AppendUint64(data, durableThrough)
	data = binary.BigEndian.AppendUint32(data, 0)
	data = append(data, body...)
	encoded := data[start:]
	binary.BigEndian.PutUint32(encoded[groupChecksumOffset:], groupChecksum(encoded))
	return data
}

// groupChecksum covers the header behind the magic, without the checksum itself, and the body.
func groupChecksum(encoded []byte) uint32 {
	header := crc32.Checksum(encoded[groupLengthOffset:groupChecksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, encoded[groupHeaderSize:])
}

// parseGroup reads the group at the start of data; ok is false if there is none that is whole.
func parseGroup(data []byte, skipChecksum bool) (g group, ok bool) {
	if len(data) < groupHeaderSize || !bytes.HasPrefix(data, groupMagic) {
		return group{}, false
	}
	length := int(binary.BigEndian.Uint32(data[groupLengthOffset:]))
	if length > maxGroupBody || len(data) < groupHeaderSize+length {
		return group{}, false
	}
	g = group{
		sequence:       binary.BigEndian.Uint64(data[groupSequenceOffset:]),
		durableThrough: binary.BigEndian.Uint64(data[groupDurableOffset:]),
		body:           data[groupHeaderSize : groupHeaderSize+length],
		size:           groupHeaderSize + length,
	}
	want := binary.BigEndian.Uint32(data[groupChecksumOffset:])
	return g, skipChecksum || groupChecksum(data[:g.size]) == want
}

// laterDurableGroup searches data from an offset for a whole group that was written when the damaged one was already on
// disk, and returns its sequence number, or 0.
func laterDurableGroup(data []byte, from int, damaged uint64) uint64 {
	for offset := from; ; offset++ {
		next := bytes.Index(data[offset:], groupMagic)
		if next < 0 {
			return 0
		}
		offset += next
		g, ok := parseGroup(data[offset:], false)
		if ok && g.sequence > damaged && g.durableThrough >= damaged {
			return g.sequence
		}
	}
}
