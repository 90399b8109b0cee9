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
	for _, f := range []protocol.Frame{
		&protocol.Offer{AttemptID: 1, Spec: protocol.ContainerSpec{ContainerID: "c", IdempotencyKey: "k", Service: "s"}},
		&protocol.Offer{AttemptID: 2, Spec: protocol.ContainerSpec{ContainerID: "other", IdempotencyKey: "k", Service: "s"}},
		&protocol.Accept{AttemptID: 1}, &protocol.Accept{AttemptID: 2},
		&protocol.CancelContainer{ContainerID: "c"}, &protocol.Termination{ContainerID: "c"},
	} {
		data, err := protocol.Append(nil, f)
		if err != nil {
			t.Fatal(err)
		}
		if err := encoder.Encode(
			faultproxy.Entry{Kind: faultproxy.FromScheduler, ConnID: 1, Frame: data[4:]},
		); err != nil {
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
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		_, text, _ := strings.Cut(line, "  : ")
		name, _, _ := strings.Cut(text, " ")
		names = append(names, name)
	}
	if got := strings.Join(names, " "); got != "Offer Yes Cancel Fate" {
		t.Errorf("the trace names %s\n%s", got, out.String())
	}
}
