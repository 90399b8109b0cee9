package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"glenport/internal/storage/vfs"
)

// A checksummed file is always replaced as a whole. It consists of seven bytes of magic, the version, the length of the
// body, a checksum of these and the body, and the body.
const (
	bodyLengthOffset      = 8
	bodyChecksumOffset    = 12
	checksummedHeaderSize = 16
)

// WriteChecksummed replaces a file atomically. The magic has seven bytes and identifies the format of the body.
func WriteChecksummed(fs vfs.FS, name, magic string, version byte, body []byte) error {
	data := append([]byte(magic), version)
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint32(data, fileChecksum(data, body))
	return vfs.WriteFileAtomic(fs, name, append(data, body...))
}

func fileChecksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:bodyChecksumOffset], castagnoli), castagnoli, body)
}

// ReadChecksummed reads a file that WriteChecksummed wrote, of any version up to known.
func ReadChecksummed(fs vfs.FS, name, magic string, known byte) (version byte, body []byte, err error) {
	data, err := fs.Read(name)
	if err != nil {
		return 0, nil, err
	}
	if len(data) < checksummedHeaderSize || !bytes.HasPrefix(data, []byte(magic)) {
		return 0, nil, &CorruptionError{name, 0, "the header is truncated or the magic is wrong"}
	}
	version, body = data[versionOffset], data[checksummedHeaderSize:]
	length := binary.BigEndian.Uint32(data[bodyLengthOffset:])
	switch {
	case int(length) != len(body):
		detail := fmt.Sprintf("the body has %d bytes, but the header states %d", len(body), length)
		return 0, nil, &CorruptionError{name, bodyLengthOffset, detail}
	case fileChecksum(data, body) != binary.BigEndian.Uint32(data[bodyChecksumOffset:]):
		return 0, nil, &CorruptionError{name, bodyChecksumOffset, "the checksum is wrong"}
	case version > known:
		return 0, nil, &UnsupportedVersionError{name, int(version)}
	}
	return version, body, nil
}
