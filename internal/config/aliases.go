package config

import (
	"log/slog"

	"glenport/internal/config/strictyaml"
)

// The tables in this file list all old spellings that settings files may have. docs/operating.md repeats them for
// operators; a test compares the two.

// SchedulerAliases returns the old spellings of the scheduler settings file.
func SchedulerAliases() strictyaml.Aliases {
	return strictyaml.Aliases{Keys: schedulerKeyAliases, Values: schedulerValueAliases}
}

// ControllerAliases returns the old spellings of the controller settings file.
func ControllerAliases() strictyaml.Aliases { return strictyaml.Aliases{Keys: controllerKeyAliases} }

var schedulerKeyAliases = []strictyaml.KeyAlias{
	{Section: "", Old: "number", New: "scheduler_index"},
	{Section: "", Old: "placers", New: "scheduler_count"},
	{Section: "", Old: "door", New: "listen"},
	{Section: "", Old: "state", New: "state_dir"},
	{Section: "", Old: "keep", New: "legacy_list_file"},

	{Section: "", Old: "list", New: "machine_list"},
	{Section: "machine_list", Old: "ask_within", New: "poll_interval"},

	{Section: "", Old: "links", New: "connections"},
	{Section: "connections", Old: "connect_within", New: "connect_timeout"},
	{Section: "connections", Old: "close_idle_after", New: "idle_timeout"},
	{Section: "connections", Old: "broken_when_silent_for", New: "silence_timeout"},
	{Section: "connections", Old: "most_waiting_output", New: "max_output_buffer"},

	{Section: "", Old: "bounds", New: "limits"},
	{Section: "limits", Old: "owners", New: "max_clients"},
	{Section: "limits", Old: "open_containers", New: "max_open_requests"},
	{Section: "limits", Old: "open_containers_of_one_owner", New: "max_open_requests_per_client"},
	{Section: "limits", Old: "narrow_when_slow", New: "adaptive_concurrency"},

	{Section: "machines", Old: "kinds", New: "machine_types"},
	{Section: "machines", Old: "accept", New: "overcommit"},
	{Section: "machines", Old: "say_yes_when", New: "accept_means"},
	{Section: "machines", Old: "tell_use", New: "usage_reports"},
	{Section: "machines", Old: "list_tells_room", New: "list_tracks_requests"},
	{Section: "machines", Old: "may_be_probed", New: "probes_allowed"},
	{Section: "machines", Old: "cold_for", New: "slow_start.period"},
	{Section: "machines", Old: "cold_window", New: "slow_start.window"},
	{Section: "machines", Old: "cold_bids", New: "slow_start.budget"},

	{Section: "", Old: "bids", New: "attempts"},
	{Section: "attempts", Old: "most", New: "max_attempts"},

	{Section: "", Old: "workloads", New: "workload_classes"},
	{Section: "workload_classes", Old: "effect", New: "idempotency"},
	{Section: "workload_classes", Old: "repeats_dropped_in", New: "dedup_scope"},
	{Section: "workload_classes", Old: "repeats_dropped_for", New: "dedup_window"},
	{Section: "workload_classes", Old: "agreed_time", New: "latency_objective"},
	{Section: "workload_classes", Old: "hard_stop", New: "placement_timeout"},
	{Section: "workload_classes", Old: "kind", New: "machine_type"},
	{Section: "workload_classes", Old: "spread_over", New: "spread_scope"},
	{Section: "workload_classes", Old: "most_in_one", New: "max_per_scope"},
	{Section: "workload_classes", Old: "gain", New: "priority_weight"},

	{Section: "", Old: "customers", New: "tenants"},
	{Section: "", Old: "over_share", New: "over_quota_weight"},

	{Section: "bgp", Old: "as", New: "asn"},
	{Section: "bgp", Old: "identifier", New: "router_id"},
	{Section: "bgp.peers", Old: "as", New: "asn"},
	{Section: "bgp.peers", Old: "hold", New: "hold_time"},
	{Section: "bgp.peers", Old: "keep_routes_for", New: "restart_time"},
	{Section: "bgp.peers", Old: "it_calls", New: "passive"},
	{Section: "bgp.services", Old: "least_running", New: "min_running"},
	{Section: "bgp.services", Old: "fewer_is_worse", New: "med_by_health"},
}

var schedulerValueAliases = []strictyaml.ValueAlias{
	{Key: "workload_classes.idempotency", Old: "reissuable", New: "idempotent"},
	{Key: "workload_classes.idempotency", Old: "numbered", New: "idempotent-with-key"},
	{Key: "workload_classes.dedup_scope", Old: "cell", New: "rack-group"},
	{Key: "workload_classes.dedup_scope", Old: "everywhere", New: "fleet"},
	{Key: "workload_classes.spread_scope", Old: "cell", New: "rack-group"},
}

var controllerKeyAliases = []strictyaml.KeyAlias{
	{Section: "", Old: "placer_file", New: "scheduler_config"},
	{Section: "", Old: "doors", New: "schedulers"},
	{Section: "", Old: "list", New: "machine_list"},
	{Section: "", Old: "state", New: "state_dir"},
}

// LogDeprecations logs a warning for each old spelling in a settings file.
func LogDeprecations(log *slog.Logger, deprecations []strictyaml.Deprecation) {
	for _, d := range deprecations {
		log.Warn("deprecated setting", "file", d.File, "line", d.Line, "old", d.Old, "new", d.New)
	}
}
