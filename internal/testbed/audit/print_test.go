package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/internal/testutil"
	"glenport/internal/testutil/frames"

	"github.com/fxamacker/cbor/v2"
)

// A trace names frames as docs/protocol.md does, and omits the frames of other containers.
func TestTraceNamesFramesOfTheContainer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	file, err := os.Create(path)
	testutil.NoError(t, err)
	encoder := cbor.NewEncoder(file)
	testutil.NoError(t, encoder.Encode(faultproxy.Header{Format: "glenport record 2"}))
	spec := protocol.ContainerSpec{ContainerID: "c", IdempotencyKey: "k", Service: "s"}
	otherSpec := spec
	otherSpec.ContainerID = "other"
	for _, f := range []protocol.Frame{
		&protocol.Offer{AttemptID: 1, Spec: spec}, &protocol.Offer{AttemptID: 2, Spec: otherSpec},
		&protocol.Accept{AttemptID: 1}, &protocol.Accept{AttemptID: 2},
		&protocol.CancelContainer{ContainerID: "c"}, &protocol.Termination{ContainerID: "c"},
	} {
		entry := faultproxy.Entry{Kind: faultproxy.FromScheduler, ConnID: 1, Frame: frames.Encode(t, f)[4:]}
		testutil.NoError(t, encoder.Encode(entry))
	}
	testutil.NoError(t, file.Close())
	var out strings.Builder
	testutil.NoError(t, PrintContainer(path, "c", &out))
	var names []string
	for line := range strings.Lines(out.String()) {
		_, text, _ := strings.Cut(line, "  : ")
		name, _, _ := strings.Cut(text, " ")
		names = append(names, name)
	}
	got := strings.Join(names, " ")
	testutil.Expect(t, got == "Offer Yes Cancel Fate", "the trace names %s\n%s", got, out.String())
}
