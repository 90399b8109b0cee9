package main

import (
	"testing"
	"time"

	"github.com/spf13/cobra"

	"glenport/internal/testutil"
)

func TestFormerFlagsSetTheSameValue(t *testing.T) {
	for _, tc := range []struct {
		command             *cobra.Command
		former, name, value string
	}{
		{loadCommand(), "placer-file", "scheduler-config", "other.yaml"},
		{loadCommand(), "life", "runtime", (5 * time.Second).String()},
		{apiLoadCommand(), "waiting", "pending", "17"},
		{replayCommand(), "day", "scenario", "other.yaml"},
		{overloadTrialCommand(), "placers", "schedulers", "5"},
		{schedulerCommand(), "spoil-routes", "sabotage-routes", "late"},
	} {
		t.Run(tc.former, func(t *testing.T) {
			former := tc.command.Flags().Lookup(tc.former)
			if former == nil || !former.Hidden || former.Deprecated != "use --"+tc.name {
				t.Fatalf("got %+v", former)
			}
			testutil.NoError(t, tc.command.Flags().Set(tc.former, tc.value))
			if got := tc.command.Flags().Lookup(tc.name).Value.String(); got != tc.value {
				t.Errorf("--%s is %q, want %q", tc.name, got, tc.value)
			}
		})
	}
}

func TestFormerCommandsAreAliases(t *testing.T) {
	for _, tc := range []struct {
		command *cobra.Command
		former  string
	}{
		{scenarioCommand(), "day"},
		{schedulerCommand(), "placer"},
		{jobLoadCommand(), "kept"},
	} {
		if !tc.command.HasAlias(tc.former) {
			t.Errorf("%s has no alias %s", tc.command.Name(), tc.former)
		}
	}
}
