package wal

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"glenport/internal/storage/vfs"
	"glenport/internal/testutil"

	"github.com/fxamacker/cbor/v2"
)

// describeFolder describes the contents of the files of a folder, and checks that encoding each header and group again
// gives the same bytes.
func describeFolder(t *testing.T, files map[string][]byte) string {
	t.Helper()
	var out strings.Builder
	for _, name := range sortedNames(files) {
		data := files[name]
		fmt.Fprintf(&out, "file %s, %d bytes\n", name, len(data))
		magic := ""
		switch {
		case strings.HasSuffix(name, vfs.TempSuffix):
			fmt.Fprintf(&out, "  unfinished\n")
			continue
		case strings.HasPrefix(name, segmentPrefix):
			magic = segmentMagic
		case strings.HasPrefix(name, snapshotPrefix):
			magic = snapshotMagic
		}
		first, err := parseFileHeader(name, magic, data, false)
		testutil.NoError(t, err)
		if got := newFileHeader(magic, first); !bytes.Equal(got, data[:headerSize]) {
			t.Errorf("%s: the header is encoded as %x, want %x", name, got, data[:headerSize])
		}
		start, version := data[:versionOffset], data[versionOffset]
		fmt.Fprintf(&out, "  header: %s, version %d, first group %d\n", start, version, first)
		describeGroups(t, &out, name, data[headerSize:])
	}
	return out.String()
}

func describeGroups(t *testing.T, out *strings.Builder, name string, data []byte) {
	t.Helper()
	for len(data) > 0 {
		g, ok := parseGroup(data, false)
		if !ok {
			fmt.Fprintf(out, "  %d bytes of a torn group\n", len(data))
			return
		}
		fmt.Fprintf(out, "  group %d, on disk before it: up to %d", g.sequence, g.durableThrough)
		body := describeChanges(t, out, g.body)
		if got := appendGroup(nil, g.sequence, g.durableThrough, body); !bytes.Equal(got, data[:g.size]) {
			t.Errorf("%s: group %d is encoded as\n%x, want\n%x", name, g.sequence, got, data[:g.size])
		}
		data = data[g.size:]
	}
}

// describeChanges describes the changes of a group and returns their new encoding.
func describeChanges(t *testing.T, out *strings.Builder, body []byte) []byte {
	t.Helper()
	if len(body) == 0 {
		fmt.Fprintf(out, ", the end of a snapshot\n")
		return nil
	}
	var changes []Change
	testutil.NoError(t, cbor.Unmarshal(body, &changes))
	fmt.Fprintf(out, ", %d changes\n", len(changes))
	for _, c := range changes {
		if c.Value == nil {
			fmt.Fprintf(out, "    remove %q %q\n", c.Kind, c.Key)
		} else {
			fmt.Fprintf(out, "    put %q %q = %q\n", c.Kind, c.Key, c.Value)
		}
	}
	encoded, err := cbor.Marshal(changes)
	testutil.NoError(t, err)
	return encoded
}

// describeState describes the state that was loaded from a folder.
func describeState(t *testing.T, s *State) string {
	t.Helper()
	var out strings.Builder
	const read = "read: the log from group %d on, the last is %d, %d groups, %d records, %d bytes, %d of them cut off\n"
	fmt.Fprintf(&out, read, s.FirstGroup, s.LastGroup, s.Groups, s.Records, s.Bytes, s.TruncatedBytes)
	for _, kind := range s.Kinds() {
		fmt.Fprintf(&out, "kind %q, %d records\n", kind, s.Count(kind))
		err := s.ForEach(kind, func(key string, value []byte) error {
			fmt.Fprintf(&out, "  %q = %q\n", key, value)
			return nil
		})
		testutil.NoError(t, err)
	}
	return out.String()
}
