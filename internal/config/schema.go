package config

import "glenport/internal/config/strictyaml"

// The types in this file are the schemas of both settings files: the keys, their types and the default of each optional
// key. A key without the tag settings:"optional" is required; a list or section may be omitted if its comment gives a
// default.

// schedulerFile is the settings file of a scheduler, such as deploy/scheduler.yaml.
type schedulerFile struct {
	Name       strictyaml.String `yaml:"name"`
	Index      strictyaml.Count  `yaml:"scheduler_index"` // index of this scheduler, counted from 0
	Schedulers strictyaml.Count  `yaml:"scheduler_count"` // number of all schedulers
	// seed of the random number generator; default 0
	Seed strictyaml.Count `yaml:"seed" settings:"optional"`
	// address and port on which clients connect
	ListenAddr strictyaml.String `yaml:"listen"`
	// default: no state is kept across restarts
	StateDir strictyaml.String `yaml:"state_dir" settings:"optional"`
	// requires state_dir; default: no such file is read
	LegacyList strictyaml.String `yaml:"legacy_list_file" settings:"optional"`
	// address and port; default: metrics are not served
	Metrics strictyaml.String `yaml:"metrics" settings:"optional"`

	MachineList     machineListSection   `yaml:"machine_list"`
	Connections     connectionsSection   `yaml:"connections"`
	Limits          limitsSection        `yaml:"limits"`
	Machines        machinesSection      `yaml:"machines"`
	Attempts        attemptsSection      `yaml:"attempts"`
	WorkloadClasses []workloadClassEntry `yaml:"workload_classes"` // at least one
	Tenants         []tenantEntry        `yaml:"tenants"`          // default: none

	OverQuotaWeight strictyaml.Float `yaml:"over_quota_weight" settings:"optional"` // from 0 to 1; default 0
	BGP             *bgpSection      `yaml:"bgp"`                                   // default: no address is announced
}

// machineListSection holds the address and the polling interval of the machine list.
type machineListSection struct {
	Address        strictyaml.String   `yaml:"address"`
	ResyncInterval strictyaml.Duration `yaml:"poll_interval"`
}

// connectionsSection holds the limits of each connection.
type connectionsSection struct {
	// at most a sixteenth of slow_start.window, unless slow_start.budget is 0
	ConnectTimeout strictyaml.Duration `yaml:"connect_timeout"`
	IdleTimeout    strictyaml.Duration `yaml:"idle_timeout"`
	SilenceTimeout strictyaml.Duration `yaml:"silence_timeout"`
	MaxOutput      strictyaml.Memory   `yaml:"max_output_buffer"` // at least 64KiB
}

// limitsSection holds the limits that the listener applies to admission.
type limitsSection struct {
	Clients               strictyaml.Count `yaml:"max_clients"`
	OpenRequests          strictyaml.Count `yaml:"max_open_requests"`
	OpenRequestsPerClient strictyaml.Count `yaml:"max_open_requests_per_client"`
	AdaptiveLimit         strictyaml.Bool  `yaml:"adaptive_concurrency" settings:"optional"` // default false
}

// machinesSection describes the machines and their behavior.
type machinesSection struct {
	MachineTypes       []machineTypeEntry   `yaml:"machine_types"` // at least one
	Overcommit         overcommitSection    `yaml:"overcommit"`
	MeanContainer      meanContainerSection `yaml:"mean_container"`
	AcceptMeans        strictyaml.String    `yaml:"accept_means"` // accepted or running
	UsageReports       strictyaml.Bool      `yaml:"usage_reports"`
	ListTracksRequests strictyaml.Bool      `yaml:"list_tracks_requests"`
	ProbesAllowed      strictyaml.Bool      `yaml:"probes_allowed"`
	SlowStart          slowStartSection     `yaml:"slow_start"`
}

// slowStartSection limits the attempts sent to a machine soon after its start.
type slowStartSection struct {
	Period strictyaml.Duration `yaml:"period"` // time after the start of the machine
	Window strictyaml.Duration `yaml:"window"`
	Budget strictyaml.Count    `yaml:"budget"` // attempts per window, from all schedulers together
}

// machineTypeEntry is one machine type.
type machineTypeEntry struct {
	Name   strictyaml.String `yaml:"name"` // unique
	Cores  strictyaml.Float  `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

// overcommitSection holds the multiples of a machine's size up to which it accepts containers.
type overcommitSection struct {
	Cores  strictyaml.Float `yaml:"cores"`
	Memory strictyaml.Float `yaml:"memory"`
}

// meanContainerSection is the mean size of a container.
type meanContainerSection struct {
	Cores  strictyaml.Float  `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

// attemptsSection holds the limits of the attempts for one request.
type attemptsSection struct {
	MaxAttempts strictyaml.Count    `yaml:"max_attempts"`
	AnswerGrace strictyaml.Duration `yaml:"answer_grace"` // time after the deadline in which an answer still counts
}

// workloadClassEntry is one workload class.
type workloadClassEntry struct {
	Name strictyaml.String `yaml:"name"` // unique
	// idempotent, idempotent-with-key or at-most-once
	Idempotency strictyaml.String `yaml:"idempotency"`
	// rack-group, zone or fleet; required with idempotent-with-key, otherwise not allowed
	DedupScope       strictyaml.String   `yaml:"dedup_scope" settings:"optional"`
	DedupWindow      strictyaml.Duration `yaml:"dedup_window" settings:"optional"` // required if dedup_scope is
	LatencyObjective strictyaml.Duration `yaml:"latency_objective"`                // at most placement_timeout
	PlacementTimeout strictyaml.Duration `yaml:"placement_timeout"`
	// a name from machines.machine_types; default: any type
	MachineType strictyaml.String `yaml:"machine_type" settings:"optional"`
	// machine, rack-group or zone; default: containers are not spread
	SpreadScope strictyaml.String `yaml:"spread_scope" settings:"optional"`
	// required with spread_scope, otherwise not allowed
	MaxPerScope    strictyaml.Count `yaml:"max_per_scope" settings:"optional"`
	PriorityWeight strictyaml.Float `yaml:"priority_weight"`
}

// tenantEntry is one tenant and its quota.
type tenantEntry struct {
	Name  strictyaml.String `yaml:"name"`
	Cores strictyaml.Float  `yaml:"cores"`
}

// bgpSection holds the announced addresses and the peers to which they are announced.
type bgpSection struct {
	ASN        strictyaml.Count  `yaml:"asn"`
	RouterID   strictyaml.String `yaml:"router_id"`                  // an IPv4 address other than 0.0.0.0
	ListenAddr strictyaml.String `yaml:"listen" settings:"optional"` // default: peers cannot connect
	Peers      []bgpPeerEntry    `yaml:"peers"`                      // default: none
	Services   []bgpServiceEntry `yaml:"services"`                   // default: none
}

// bgpPeerEntry is one BGP peer.
type bgpPeerEntry struct {
	Addr        strictyaml.String   `yaml:"address"`
	ASN         strictyaml.Count    `yaml:"asn"`
	HoldTime    strictyaml.Duration `yaml:"hold_time"`                        // 0 or 3 to 65535 whole seconds
	RestartTime strictyaml.Duration `yaml:"restart_time" settings:"optional"` // default 0: no graceful restart
	Passive     strictyaml.Bool     `yaml:"passive" settings:"optional"`      // requires bgp.listen; default false
	Families    []strictyaml.String `yaml:"families"`                         // ipv4, ipv6; default: only ipv4
	Allow       []strictyaml.String `yaml:"allow"`                            // at least one prefix
	// at most 80 bytes; default: TCP segments are not signed
	MD5Key strictyaml.String `yaml:"tcp_md5_key" settings:"optional"`
}

// bgpServiceEntry is the announced address of one service.
type bgpServiceEntry struct {
	Service     strictyaml.String `yaml:"service"`
	Prefix      strictyaml.String `yaml:"prefix"` // unique
	NextHop     strictyaml.String `yaml:"next_hop"`
	MinRunning  strictyaml.Count  `yaml:"min_running" settings:"optional"`   // default 0, which counts as 1
	MED         strictyaml.Count  `yaml:"med" settings:"optional"`           // default 0
	MEDByHealth strictyaml.Bool   `yaml:"med_by_health" settings:"optional"` // default false
}

// controllerFile is the settings file of a controller, such as deploy/controller.yaml.
type controllerFile struct {
	Name    strictyaml.String `yaml:"name"`
	APIAddr strictyaml.String `yaml:"api"`
	// path relative to the directory of this file
	SchedulerFile  strictyaml.String   `yaml:"scheduler_config"`
	SchedulerAddrs []strictyaml.String `yaml:"schedulers"` // at least one
	// default: the machine list is not watched
	MachineListAddr strictyaml.String `yaml:"machine_list" settings:"optional"`
	// seed of the random number generator; default 0
	Seed strictyaml.Count `yaml:"seed" settings:"optional"`
	// default: no state is kept across restarts
	StateDir strictyaml.String `yaml:"state_dir" settings:"optional"`
}
