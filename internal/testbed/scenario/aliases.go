package scenario

import (
	"glenport/internal/config/strictyaml"
	"glenport/internal/testbed/faults"
)

// Aliases returns the old names of keys and values that scenario files may still use. There is no other table of them.
func Aliases() strictyaml.Aliases { return strictyaml.Aliases{Keys: keyAliases, Values: kindAliases} }

var keyAliases = []strictyaml.KeyAlias{
	{Section: "", Old: "placers", New: "scheduler_count"},
	{Section: "", Old: "placer_file", New: "scheduler_config"},
	{Section: "", Old: "submissions_a_second", New: "submissions_per_second"},
	{Section: "", Old: "halls", New: "zones"},
	{Section: "", Old: "list", New: "machine_list"},
	{Section: "", Old: "work", New: "workloads"},
	{Section: "", Old: "troubles", New: "faults"},

	{Section: "machines", Old: "kind", New: "machine_type"},
	{Section: "machines", Old: "in_each_hall", New: "per_zone"},

	{Section: "machine", Old: "look_at_an_offer", New: "admission_time"},
	{Section: "machine", Old: "offers_may_wait", New: "max_queued_offers"},
	{Section: "machine", Old: "starts_at_once", New: "concurrent_starts"},
	{Section: "machine", Old: "start", New: "start_time"},
	{Section: "machine", Old: "first_start_times", New: "image_miss_factor"},
	{Section: "machine", Old: "programs_kept", New: "cached_images"},
	{Section: "machine", Old: "cold_pace", New: "slow_start.pace"},
	{Section: "machine", Old: "cold_bears", New: "slow_start.capacity"},
	{Section: "machine", Old: "use_drifts", New: "memory_drift"},

	{Section: "machine_list", Old: "behind", New: "lag"},
	{Section: "machine_list", Old: "notices_death_after", New: "failure_detection"},
	{Section: "machine_list", Old: "looks_every", New: "poll_interval"},
	{Section: "machine_list", Old: "calls_a_second", New: "calls_per_second"},

	{Section: "workloads", Old: "workload", New: "workload_class"},
	{Section: "workloads", Old: "life", New: "mean_runtime"},
	{Section: "workloads", Old: "asked_again", New: "retry_rejected"},
	{Section: "workloads", Old: "asked_again_when_unheard", New: "retry_unanswered"},

	{Section: "faults", Old: "for", New: "duration"},
	{Section: "faults", Old: "part", New: "fraction"},
	{Section: "faults", Old: "hall", New: "zone"},
}

var kindAliases = []strictyaml.ValueAlias{
	{Key: "faults.kind", Old: "hall restarts cold", New: string(faults.KindZoneRestart)},
	{Key: "faults.kind", Old: "silence", New: string(faults.KindFreeze)},
	{Key: "faults.kind", Old: "silence, then cold", New: string(faults.KindFreezeAndRestart)},
	{Key: "faults.kind", Old: "half-open links", New: string(faults.KindHalfOpen)},
	{Key: "faults.kind", Old: "hall cut off", New: string(faults.KindZonePartition)},
	{Key: "faults.kind", Old: "resets", New: string(faults.KindResets)},
	{Key: "faults.kind", Old: "list away", New: string(faults.KindListUnavailable)},
	{Key: "faults.kind", Old: "list stale", New: string(faults.KindListStale)},
	{Key: "faults.kind", Old: "placers killed", New: string(faults.KindSchedulersKilled)},
	{Key: "faults.kind", Old: "asked again", New: string(faults.KindClientRetries)},
	{Key: "faults.kind", Old: "answers lost", New: string(faults.KindLostAccepts)},
	{Key: "faults.kind", Old: "late network", New: string(faults.KindNetworkDelay)},
	{Key: "faults.kind", Old: "workload unanswered", New: string(faults.KindWorkloadIgnored)},
	{Key: "faults.kind", Old: "customer turned away", New: string(faults.KindTenantThrottled)},
	{Key: "faults.kind", Old: "memory swells", New: string(faults.KindMemoryGrowth)},
	{Key: "faults.kind", Old: "fleet grows", New: string(faults.KindFleetGrowth)},
}
