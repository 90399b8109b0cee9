package platformcheck

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"glenport/internal/testutil"
	_ "glenport/internal/testutil/fixedseed"
)

// The process keeps the rules in random orders of events. The platform trial plays many more orders.
func TestRulesHoldInRandomOrders(t *testing.T) {
	result := Campaign{Events: 3000, Workers: 2}.Play()
	testutil.Expect(t, result.FailedRuns == 0,
		"seed %d: %v", result.FirstFailure.Run.Seed, result.FirstFailure.Violations)
	testutil.Equal(t, result.Seeds, 50, "seeds played")
}

// Each injected fault is detected by the check of the rule that it breaks.
func TestEachFaultIsFound(t *testing.T) {
	for fault, rules := range map[Fault][]string{
		LostAnswer:       {ruleAnswer, ruleProcess},
		ForgottenAttempt: {ruleDuplicate},
		IgnoredDrain:     {ruleDraining},
		LeakedDescriptor: {ruleProcess},
		RepeatedWrite:    {ruleAnswer, ruleProcess},
		LostEnd:          {ruleEndReport},
		DelayedEnd:       {ruleEndReport},
		IgnoredSpread:    {ruleSpread},
		UncountedClaim:   {ruleSpread},
		IgnoredSlowStart: {ruleSlowStart},
		WholeBudget:      {ruleSlowStart},
		LostTermination:  {ruleDuplicate},
	} {
		t.Run(string(fault), func(t *testing.T) {
			result := Campaign{Events: 12_000, Fault: fault, Workers: 2}.Play()
			testutil.Require(t, result.FailedRuns > 0, "not detected in %d seeds", result.Seeds)
			rule := result.FirstFailure.Violations[0].Rule
			testutil.Expect(t, slices.Contains(rules, rule), "detected by %q", rule)
		})
	}
}

// A failing list of events is reduced to one that needs each of its events, and whose replay has the same violations.
func TestFailureIsReduced(t *testing.T) {
	result := Campaign{Events: 12_000, Fault: IgnoredDrain, Workers: 2}.Play()
	testutil.Require(t, result.FailedRuns > 0, "nothing failed")
	reduced := Reduce(result.FirstFailure.Run)
	count := len(reduced.Run.Events)
	testutil.Require(t, count > 0 && count <= 4, "%d events are left", count)
	testutil.DeepEqual(t, Play(reduced.Run), reduced.Violations)
	rule := result.FirstFailure.Violations[0].Rule
	testutil.Equal(t, reduced.Violations[0].Rule, rule, "rule after the reduction")
	for i := range reduced.Run.Events {
		run := reduced.Run
		run.Events = slices.Delete(slices.Clone(run.Events), i, i+1)
		violations := Play(run)
		needed := len(violations) == 0 || violations[0].Rule != rule
		testutil.Expect(t, needed, "the run fails without event %d: %v", i, reduced.Run.Events[i])
	}
	violations := Reduce(Run{Seed: 1, Events: Draw(1, 5)}).Violations
	testutil.Equal(t, len(violations), 0, "violations of a run that does not fail")
}

// Equal seeds give equal transcripts, byte by byte.
func TestEqualSeedsGiveEqualTranscripts(t *testing.T) {
	for seed := range uint64(10) {
		var transcripts [2]bytes.Buffer
		for i := range transcripts {
			Play(Run{Seed: seed, Events: Draw(seed, eventsPerRun), Trace: &transcripts[i]})
		}
		first, second := transcripts[0].Bytes(), transcripts[1].Bytes()
		testutil.Expect(t, bytes.Equal(first, second), "seed %d: two runs differ", seed)
		testutil.Expect(t, len(first) > 0, "seed %d: nothing happened", seed)
	}
}

// Draw draws all variants of the ten kinds, and the description of an event names its variant.
func TestEveryEventIsDrawnAndDescribed(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(50) {
		for _, event := range Draw(seed, eventsPerRun) {
			drawn[event.Kind.String()+event.action().text] = true
			testutil.Expect(t, strings.Contains(event.String(), event.action().text), "%v", event)
		}
	}
	for kind, variants := range actions {
		for _, variant := range variants {
			testutil.Expect(t, drawn[kind.String()+variant.text], "%v: %q is never drawn", kind, variant.text)
		}
	}
	testutil.Equal(t, len(actions), int(kindCount), "kinds of events")
}

func TestFaultsAreKnownByName(t *testing.T) {
	for _, fault := range Faults {
		parsed, err := ParseFault(string(fault))
		testutil.Expect(t, err == nil && parsed == fault, "%q: %v", fault, err)
	}
	_, err := ParseFault("none")
	testutil.Expect(t, err != nil && strings.Contains(err.Error(), `no fault "none"`), "%v", err)
}

// All combinations of parameters occur, and seeds that differ by paramCombinations have the same combination.
func TestParametersCoverAllCombinations(t *testing.T) {
	occurring := map[string]bool{}
	for seed := range uint64(2 * paramCombinations) {
		occurring[fmt.Sprint(paramsOf(seed))] = true
	}
	sizes := 2 // numbers of machines: fewMachines and manyMachines
	combinations := len(deadlines) * len(spreadChoices) * len(slowStartChoices) * len(descriptorLimits) * sizes
	testutil.Equal(t, len(occurring), combinations, "combinations of parameters")
}

// The spread limit holds while the cancel of an offer that its machine has accepted is lost with its connection, and
// sent again. Guards against a container that does not count although it runs until the machine reads the cancel.
func TestSpreadHoldsWhileACancelIsSentAgain(t *testing.T) {
	const seed = 211937
	violations := Play(Run{Seed: seed, Events: Draw(seed, eventsPerRun)})
	testutil.Expect(t, len(violations) == 0, "%v", violations)
}
