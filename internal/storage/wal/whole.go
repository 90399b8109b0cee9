package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"glenport/internal/storage/vfs"
)

// A whole file is replaced as one: eight bytes that name sort and version, the length of what follows, and a
// checksum of all.
const wholeHeader = 16

// WriteWhole puts a file in the place of the one before, with a sort of seven letters.
func WriteWhole(d vfs.Folder, name, sort string, version byte, body []byte) error {
	p := append([]byte(sort), version)
	p = binary.BigEndian.AppendUint32(p, uint32(len(body)))
	p = binary.BigEndian.AppendUint32(p, wholeSum(p, body))
	return vfs.Replace(d, name, append(p, body...))
}

func wholeSum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:12], table), table, body)
}

// ReadWhole reads such a file; its version is at most the one known.
func ReadWhole(d vfs.Folder, name, sort string, known byte) (version byte, body []byte, err error) {
	p, err := d.Read(name)
	if err != nil {
		return 0, nil, err
	}
	switch {
	case len(p) < wholeHeader || !bytes.HasPrefix(p, []byte(sort)):
		return 0, nil, &Corrupt{name, 0, "it does not begin as such a file does"}
	case int(binary.BigEndian.Uint32(p[8:])) != len(p)-wholeHeader:
		return 0, nil, &Corrupt{name, 8, fmt.Sprintf("%d bytes follow where %d should", len(p)-wholeHeader, binary.BigEndian.Uint32(p[8:]))}
	case wholeSum(p, p[wholeHeader:]) != binary.BigEndian.Uint32(p[12:]):
		return 0, nil, &Corrupt{name, 12, "its checksum is wrong"}
	case p[7] > known:
		return 0, nil, &Newer{name, int(p[7])}
	}
	return p[7], p[wholeHeader:], nil
}
