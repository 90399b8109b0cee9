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
const checksummedHeaderSize = 16

// WriteChecksummed puts a file in the place of the one before, with a sort of seven letters.
func WriteChecksummed(d vfs.FS, name, sort string, version byte, body []byte) error {
	p := append([]byte(sort), version)
	p = binary.BigEndian.AppendUint32(p, uint32(len(body)))
	p = binary.BigEndian.AppendUint32(p, fileChecksum(p, body))
	return vfs.WriteFileAtomic(d, name, append(p, body...))
}

func fileChecksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:12], castagnoli), castagnoli, body)
}

// ReadChecksummed reads such a file; its version is at most the one known.
func ReadChecksummed(d vfs.FS, name, sort string, known byte) (version byte, body []byte, err error) {
	p, err := d.Read(name)
	if err != nil {
		return 0, nil, err
	}
	switch {
	case len(p) < checksummedHeaderSize || !bytes.HasPrefix(p, []byte(sort)):
		return 0, nil, &CorruptionError{name, 0, "it does not begin as such a file does"}
	case int(binary.BigEndian.Uint32(p[8:])) != len(p)-checksummedHeaderSize:
		return 0, nil, &CorruptionError{name, 8, fmt.Sprintf("%d bytes follow where %d should", len(p)-checksummedHeaderSize, binary.BigEndian.Uint32(p[8:]))}
	case fileChecksum(p, p[checksummedHeaderSize:]) != binary.BigEndian.Uint32(p[12:]):
		return 0, nil, &CorruptionError{name, 12, "its checksum is wrong"}
	case p[7] > known:
		return 0, nil, &UnsupportedVersionError{name, int(p[7])}
	}
	return p[7], p[checksummedHeaderSize:], nil
}
