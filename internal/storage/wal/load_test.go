package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/storage/faultfs"
	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"
)

const firstSegment = "log-0000000000000001"

// tenGroups returns a directory with ten groups in one segment, which has a clean end.
func tenGroups(t *testing.T) *faultfs.FS {
	t.Helper()
	fs := faultfs.New()
	l, _ := mustOpen(t, fs, Options{})
	for i := range 10 {
		mustCommit(t, l, true, putText(strconv.Itoa(i), strings.Repeat("x", 100)))
	}
	mustClose(t, l)
	return fs
}

// flipBit returns a function that flips one bit of the first segment.
func flipBit(bit int) func(t *testing.T, fs *faultfs.FS) {
	return func(t *testing.T, fs *faultfs.FS) {
		t.Helper()
		mustFlipBit(t, fs, bit)
	}
}

// Corruption is reported with its position and the directory is not changed. Only the traces of a crash are tolerated.
func TestCorruptionIsReportedWithItsPlace(t *testing.T) {
	for _, tc := range []struct {
		name   string
		damage func(t *testing.T, fs *faultfs.FS)
		want   string // text of the error; empty: the directory is opened
		left   int    // number of records in the opened directory
	}{
		{"nothing", func(*testing.T, *faultfs.FS) {}, "", 10},
		{"a truncated tail", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			size := len(mustRead(t, fs, firstSegment))
			mustTruncate(t, fs, firstSegment, size-80) // cuts the clean end and a part of the last group
		}, "", 9},
		{"a corrupt middle", flipBit(8 * 400), "group 3 is damaged; it was kept, as group 4", 0},
		{"a corrupt length in the middle", flipBit(8 * (headerSize + groupLengthOffset)), "group 1 is damaged", 0},
		{"a corrupt beginning", flipBit(8 * 3), "at byte 0: it does not begin", 0},
		{"a later version", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			changeVersion(t, fs, firstSegment, FormatVersion+1)
		}, "use the later one", 0},
		{"a missing segment", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			testutil.NoError(t, fs.Rename(firstSegment, "log-0000000000000004"))
		}, "a file is missing", 0},
		{"an unfinished snapshot", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			mustCreate(t, fs, "snapshot-000000000000000b.new", nil)
		}, "", 10},
		{"a snapshot cut short", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			mustCompact(t, fs)
			mustTruncate(t, fs, newestSnapshot(t, fs), 300)
		}, "part 0 of it is damaged", 0},
		{"a snapshot without its log", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			mustCompact(t, fs)
			mustRemove(t, fs, strings.Replace(newestSnapshot(t, fs), snapshotPrefix, segmentPrefix, 1))
		}, "the log from group 13 on is missing", 0},
		{"compacted twice", func(t *testing.T, fs *faultfs.FS) {
			t.Helper()
			mustCompact(t, fs)
			mustCompact(t, fs)
		}, "", 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fs := tenGroups(t)
			tc.damage(t, fs)
			if tc.want != "" {
				wantRefused(t, fs, tc.want)
				return
			}
			l, stats := mustOpen(t, fs, Options{})
			defer mustClose(t, l)
			testutil.Expect(t, stats.Records == tc.left && len(valuesOf(t, l.State())) == tc.left, "%+v", stats)
			mustCommit(t, l, true, putText("more", "y"))
		})
	}
}

// wantRefused checks that Open refuses a directory with a typed error and does not change its files.
func wantRefused(t *testing.T, fs vfs.FS, want string) {
	t.Helper()
	before := mustList(t, fs)
	_, _, err := Open(fs, Options{})
	testutil.Expect(t, err != nil && strings.Contains(err.Error(), want), "%v, want %s", err, want)
	var corruption *CorruptionError
	var unsupported *UnsupportedVersionError
	testutil.Expect(t, errors.As(err, &corruption) || errors.As(err, &unsupported), "error of type %T", err)
	after := mustList(t, fs)
	testutil.Expect(t, slices.Equal(before, after), "a damaged directory was changed from %v to %v", before, after)
}

// changeVersion changes the version of a segment, with a correct checksum.
func changeVersion(t *testing.T, fs *faultfs.FS, name string, version byte) {
	t.Helper()
	data := mustRead(t, fs, name)
	header := newFileHeader(segmentMagic, 1)[:headerChecksumOffset]
	header[versionOffset] = version
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
	mustRemove(t, fs, name)
	mustCreate(t, fs, name, append(header, data[headerSize:]...))
}

func TestErrorsNameFileAndOffset(t *testing.T) {
	fs := tenGroups(t)
	mustFlipBit(t, fs, 8*400)
	_, err := Load(fs, false) // the third group begins after the header and two groups of 136 bytes
	var corruption *CorruptionError
	testutil.Expect(t, errors.As(err, &corruption) && corruption.File == firstSegment && corruption.Offset == 292,
		"corruption is reported as %+v", err)
	fs = tenGroups(t)
	changeVersion(t, fs, firstSegment, 7)
	_, err = Load(fs, false)
	var unsupported *UnsupportedVersionError
	testutil.Expect(t, errors.As(err, &unsupported) && unsupported.File == firstSegment && unsupported.Version == 7,
		"a later version is reported as %+v", err)
}
