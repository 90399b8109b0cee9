package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"

	"github.com/fxamacker/cbor/v2"
)

// A trace names frames as docs/protocol.md does, and leaves out those of other containers.
func TestTraceNamesFramesOfTheContainer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "record")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	encoder := cbor.NewEncoder(file)
	if err := encoder.Encode(faultproxy.Header{Format: "glenport record 1"}); err != nil {
		t.Fatal(err)
	}
	spec := protocol.ContainerSpec{ContainerID: "c", IdempotencyKey: "k", Service: "s"}
	otherSpec := spec
	otherSpec.ContainerID = "other"
	for _, f := range []protocol.Frame{
		&protocol.Offer{AttemptID: 1, Spec: spec}, &protocol.Offer{AttemptID: 2, Spec: otherSpec},
		&protocol.Accept{AttemptID: 1}, &protocol.Accept{AttemptID: 2},
		&protocol.CancelContainer{ContainerID: "c"}, &protocol.Termination{ContainerID: "c"},
	} {
		data, err := protocol.Append(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		entry := faultproxy.Entry{Kind: faultproxy.FromScheduler, ConnID: 1, Frame: data[4:]}
		if err := encoder.Encode(entry); err != nil {
			t.Fatal(err)
		}
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := PrintContainer(path, "c", &out); err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(out.String()) {
		_, text, _ := strings.Cut(line, "  : ")
		name, _, _ := strings.Cut(text, " ")
		names = append(names, name)
	}
	if got := strings.Join(names, " "); got != "Offer Yes Cancel Fate" {
		t.Errorf("the trace names %s\n%s", got, out.String())
	}
}
