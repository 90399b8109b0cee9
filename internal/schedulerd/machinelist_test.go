package schedulerd

import (
	"testing"

	"glenport/internal/protocol"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// A new incarnation in the list sets the start of a machine once; the same incarnation with another age does not change
// it.
func TestStartOfAnIncarnationIsComputedOnce(t *testing.T) {
	h := startWithMachineA(t, testConfig(t), nil, "127.0.0.1:1")
	startedAt := func(incarnation uint64, age protocol.Duration) scheduler.Time {
		h.applyList(protocol.MachineEntry{Machine: "a", Address: "127.0.0.1:1", Incarnation: incarnation, Age: age})
		return onLoop(h.server, func() scheduler.Time { return h.machineA().startedAt })
	}
	first, same, second := startedAt(2, 100), startedAt(2, 90), startedAt(3, 0)
	testutil.Expect(t, first != 0 && same == first && second > first,
		"started %d, then %d, then %d", first, same, second)
}
