package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"

	"glenport/internal/storage/vfs"
)

// FormatVersion is the version of segments and snapshots that this program writes. It reads this and earlier versions.
const FormatVersion = 1

// Segments and snapshots begin with the same header: seven bytes of magic, the version, the number of the first group
// (of a snapshot, the first group that it does not include), and a checksum of these. Groups follow, see appendGroup.
// Integers are big-endian.
const (
	segmentMagic  = "GLENLOG"
	snapshotMagic = "GLENSNP"

	versionOffset        = 7
	firstGroupOffset     = 8
	headerChecksumOffset = 16
	headerSize           = 20
)

// File names end in the number of the first group, in sixteen hexadecimal digits.
const (
	segmentPrefix    = "log-"
	snapshotPrefix   = "snapshot-"
	fileNumberDigits = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func segmentName(first uint64) string  { return fmt.Sprintf("%s%016x", segmentPrefix, first) }
func snapshotName(first uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, first) }

// rewriteMarkerName is the name of the file that marks a rewrite in progress, see Log.rewrite. It is the name of an
// unfinished segment.
func rewriteMarkerName(first uint64) string { return segmentName(first) + vfs.TempSuffix }

// parseFileName returns the number in a file name with this prefix.
func parseFileName(name, prefix string) (first uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != fileNumberDigits {
		return 0, false
	}
	_, err := fmt.Sscanf(digits, "%016x", &first)
	return first, err == nil
}

// isUnfinished reports whether a name is that of a segment or snapshot that was still being written.
func isUnfinished(name string) bool {
	return strings.HasSuffix(name, vfs.TempSuffix) &&
		(strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, segmentPrefix))
}

// newFileHeader returns the header of a segment or snapshot.
func newFileHeader(magic string, first uint64) []byte {
	header := append([]byte(magic), FormatVersion)
	header = binary.BigEndian.AppendUint64(header, first)
	return binary.BigEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// parseFileHeader returns the number of the first group of a segment or snapshot.
func parseFileHeader(file, magic string, data []byte, skipChecksum bool) (first uint64, err error) {
	switch {
	case len(data) < headerSize:
		return 0, &CorruptionError{file, 0, fmt.Sprintf("%d bytes are too few for its beginning", len(data))}
	case !bytes.HasPrefix(data, []byte(magic)):
		return 0, &CorruptionError{file, 0, "it does not begin as such a file does"}
	case !skipChecksum && !fileHeaderChecksumMatches(data):
		return 0, &CorruptionError{file, 0, "the checksum of its beginning is wrong"}
	case data[versionOffset] > FormatVersion:
		return 0, &UnsupportedVersionError{file, int(data[versionOffset])}
	case data[versionOffset] == 0:
		return 0, &CorruptionError{file, versionOffset, "there is no version 0"}
	}
	return binary.BigEndian.Uint64(data[firstGroupOffset:]), nil
}

func fileHeaderChecksumMatches(data []byte) bool {
	want := binary.BigEndian.Uint32(data[headerChecksumOffset:])
	return crc32.Checksum(data[:headerChecksumOffset], castagnoli) == want
}

// checkFirstGroup checks that the first group in the header of a file is the one in its name.
func checkFirstGroup(file segmentFile, first uint64) error {
	if first == file.firstGroup {
		return nil
	}
	return &CorruptionError{
		file.name,
		firstGroupOffset,
		fmt.Sprintf("its name does not fit its first group, %d", first),
	}
}
