package interleavings

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"glenport/internal/testbed/platformcheck"
	"glenport/internal/testbed/trials"
	"glenport/internal/testutil"
)

// The trial passes without a fault. With an injected fault it fails and prints the events that reveal the fault.
func TestTrialPassesAndFailsWithAFault(t *testing.T) {
	var out bytes.Buffer
	passing := &Trial{Events: 1200, Workers: 2, Faults: []platformcheck.Fault{platformcheck.LeakedDescriptor}}
	testutil.ExpectNoError(t, trials.Run(passing, trials.Setup{}, &out))
	for _, wanted := range []string{"20 seeds from 0, 1200 events", "1 of 1 faults found", "\ntrial platform: ok\n"} {
		testutil.Expect(t, strings.Contains(out.String(), wanted), "%q is missing in\n%s", wanted, out.String())
	}
	out.Reset()
	failing := &Trial{Events: 12_000, Workers: 2, Fault: platformcheck.IgnoredDrain}
	err := trials.Run(failing, trials.Setup{}, &out)
	testutil.Expect(t, errors.Is(err, trials.ErrFailed), "ended by %v", err)
	for _, wanted := range []string{"reduced to", "a machine drains", "rule 3", "\ntrial platform: FAILED a rule"} {
		testutil.Expect(t, strings.Contains(out.String(), wanted), "%q is missing in\n%s", wanted, out.String())
	}
}
