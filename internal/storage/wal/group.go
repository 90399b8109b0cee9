package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A group consists of a header and a body with its changes. The header holds four bytes of magic, the length of the
// body, the sequence number of the group, the number of the last group that was on disk when this group was written,
// and a checksum of all but the magic. In a snapshot the groups are its chunks, numbered from 0, and an empty group
// marks the end.
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

// group is a decoded group.
type group struct {
	sequence       uint64
	durableThrough uint64 // number of the last group that was on disk when this one was written
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

// groupChecksum is the checksum of the header, without the magic and the checksum itself, and of the body.
func groupChecksum(encoded []byte) uint32 {
	header := crc32.Checksum(encoded[groupLengthOffset:groupChecksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, encoded[groupHeaderSize:])
}

// parseGroup decodes the group at the start of data. ok is false if there is no complete and valid group.
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

// laterDurableGroup searches data from an offset for a valid group that was written when the damaged one was already on
// disk. It returns the sequence number of that group, or 0 if there is none.
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
