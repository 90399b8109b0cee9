package config

import "glenport/internal/config/strictyaml"

// This file is the schema of both settings files: the keys, their types and, for each optional key, its default. Keys
// that are not marked optional must be given, except for the lists and sections that say so.

// schedulerFile is a scheduler's settings file, such as deploy/placer.yaml.
type schedulerFile struct {
	Name       strictyaml.String `yaml:"name"`
	Index      strictyaml.Count  `yaml:"number"`                      // of this scheduler among all, from 0
	Schedulers strictyaml.Count  `yaml:"placers"`                     // how many there are
	Seed       strictyaml.Count  `yaml:"seed"    settings:"optional"` // of the random numbers; default 0
	ListenAddr strictyaml.String `yaml:"door"`                        // address and port that clients connect to
	StateDir   strictyaml.String `yaml:"state"   settings:"optional"` // default: no state is kept over restarts
	LegacyList strictyaml.String `yaml:"keep"    settings:"optional"` // needs state; default: none is read
	Metrics    strictyaml.String `yaml:"metrics" settings:"optional"` // address and port; default: metrics are not served

	MachineList     machineListSection   `yaml:"list"`
	Connections     connectionsSection   `yaml:"links"`
	Limits          limitsSection        `yaml:"bounds"`
	Machines        machinesSection      `yaml:"machines"`
	Attempts        attemptsSection      `yaml:"bids"`
	WorkloadClasses []workloadClassEntry `yaml:"workloads"` // at least one
	Tenants         []tenantEntry        `yaml:"customers"` // default: none

	OverQuotaWeight strictyaml.Float `yaml:"over_share" settings:"optional"` // from 0 to 1; default 0
	BGP             *bgpSection      `yaml:"bgp"`                            // default: no address is announced
}

// machineListSection says where the machine list is, and how often it is polled.
type machineListSection struct {
	Address        strictyaml.String   `yaml:"address"`
	ResyncInterval strictyaml.Duration `yaml:"ask_within"`
}

// connectionsSection holds the limits of each connection.
type connectionsSection struct {
	ConnectTimeout strictyaml.Duration `yaml:"connect_within"` // up to a sixteenth of cold_window where cold_bids is above 0
	IdleTimeout    strictyaml.Duration `yaml:"close_idle_after"`
	SilenceTimeout strictyaml.Duration `yaml:"broken_when_silent_for"`
	MaxOutput      strictyaml.Memory   `yaml:"most_waiting_output"` // at least 64KiB
}

// limitsSection holds the limits of admission at the listener.
type limitsSection struct {
	Clients               strictyaml.Count `yaml:"owners"`
	OpenRequests          strictyaml.Count `yaml:"open_containers"`
	OpenRequestsPerClient strictyaml.Count `yaml:"open_containers_of_one_owner"`
	AdaptiveLimit         strictyaml.Bool  `yaml:"narrow_when_slow"             settings:"optional"` // default false
}

// machinesSection says what machines there are and how they behave.
type machinesSection struct {
	MachineTypes       []machineTypeEntry   `yaml:"kinds"` // at least one
	Overcommit         overcommitSection    `yaml:"accept"`
	MeanContainer      meanContainerSection `yaml:"mean_container"`
	AcceptMeans        strictyaml.String    `yaml:"say_yes_when"` // accepted or running
	UsageReports       strictyaml.Bool      `yaml:"tell_use"`
	ListTracksRequests strictyaml.Bool      `yaml:"list_tells_room"`
	ProbesAllowed      strictyaml.Bool      `yaml:"may_be_probed"`
	SlowStartPeriod    strictyaml.Duration  `yaml:"cold_for"`
	SlowStartWindow    strictyaml.Duration  `yaml:"cold_window"`
	SlowStartBudget    strictyaml.Count     `yaml:"cold_bids"` // in a window, from all schedulers together
}

// machineTypeEntry is one type of machine.
type machineTypeEntry struct {
	Name   strictyaml.String `yaml:"name"` // unique
	Cores  strictyaml.Float  `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

// overcommitSection holds the multiples of its size up to which a machine accepts containers.
type overcommitSection struct {
	Cores  strictyaml.Float `yaml:"cores"`
	Memory strictyaml.Float `yaml:"memory"`
}

// meanContainerSection is the size of a container of mean size.
type meanContainerSection struct {
	Cores  strictyaml.Float  `yaml:"cores"`
	Memory strictyaml.Memory `yaml:"memory"`
}

// attemptsSection holds the limits of the attempts for one request.
type attemptsSection struct {
	MaxAttempts strictyaml.Count    `yaml:"most"`
	AnswerGrace strictyaml.Duration `yaml:"answer_grace"` // after the deadline
}

// workloadClassEntry is one class of workloads.
type workloadClassEntry struct {
	Name             strictyaml.String   `yaml:"name"`                                    // unique
	Idempotency      strictyaml.String   `yaml:"effect"`                                  // reissuable, numbered or at-most-once
	DedupScope       strictyaml.String   `yaml:"repeats_dropped_in"  settings:"optional"` // cell, zone or everywhere; with numbered alone, and needed there
	DedupWindow      strictyaml.Duration `yaml:"repeats_dropped_for" settings:"optional"` // with numbered alone, and needed there
	LatencyObjective strictyaml.Duration `yaml:"agreed_time"`                             // up to hard_stop
	PlacementTimeout strictyaml.Duration `yaml:"hard_stop"`
	MachineType      strictyaml.String   `yaml:"kind"                settings:"optional"` // a name of machines.kinds; default: any
	SpreadScope      strictyaml.String   `yaml:"spread_over"         settings:"optional"` // machine, cell or zone; default: no spread
	MaxPerScope      strictyaml.Count    `yaml:"most_in_one"         settings:"optional"` // with spread_over alone, and needed there
	PriorityWeight   strictyaml.Float    `yaml:"gain"`
}

// tenantEntry is one tenant and its quota.
type tenantEntry struct {
	Name  strictyaml.String `yaml:"name"`
	Cores strictyaml.Float  `yaml:"cores"`
}

// bgpSection says which addresses are announced, and to whom.
type bgpSection struct {
	ASN        strictyaml.Count  `yaml:"as"`
	RouterID   strictyaml.String `yaml:"identifier"`                     // an IPv4 address other than 0.0.0.0
	ListenAddr strictyaml.String `yaml:"listen"     settings:"optional"` // default: peers cannot connect
	Peers      []bgpPeerEntry    `yaml:"peers"`                          // default: none
	Services   []bgpServiceEntry `yaml:"services"`                       // default: none
}

// bgpPeerEntry is one BGP peer.
type bgpPeerEntry struct {
	Addr        strictyaml.String   `yaml:"address"`
	ASN         strictyaml.Count    `yaml:"as"`
	HoldTime    strictyaml.Duration `yaml:"hold"`                                // 0, or whole seconds from 3 to 65535
	RestartTime strictyaml.Duration `yaml:"keep_routes_for" settings:"optional"` // default 0: no graceful restart
	Passive     strictyaml.Bool     `yaml:"it_calls"        settings:"optional"` // needs bgp.listen; default false
	Families    []strictyaml.String `yaml:"families"`                            // ipv4, ipv6; default ipv4 alone
	Allow       []strictyaml.String `yaml:"allow"`                               // at least one prefix
	MD5Key      strictyaml.String   `yaml:"tcp_md5_key"     settings:"optional"` // up to 80 bytes; default: segments are not signed
}

// bgpServiceEntry is one service address.
type bgpServiceEntry struct {
	Service     strictyaml.String `yaml:"service"`
	Prefix      strictyaml.String `yaml:"prefix"` // unique
	NextHop     strictyaml.String `yaml:"next_hop"`
	MinRunning  strictyaml.Count  `yaml:"least_running"  settings:"optional"` // default 0, which counts as 1
	MED         strictyaml.Count  `yaml:"med"            settings:"optional"` // default 0
	MEDByHealth strictyaml.Bool   `yaml:"fewer_is_worse" settings:"optional"` // default false
}

// controllerFile is a controller's settings file, such as deploy/keeper.yaml.
type controllerFile struct {
	Name            strictyaml.String   `yaml:"name"`
	APIAddr         strictyaml.String   `yaml:"api"`
	SchedulerFile   strictyaml.String   `yaml:"placer_file"`                     // relative to the folder of this file
	SchedulerAddrs  []strictyaml.String `yaml:"doors"`                           // at least one
	MachineListAddr strictyaml.String   `yaml:"list"        settings:"optional"` // default: the list is not watched
	Seed            strictyaml.Count    `yaml:"seed"        settings:"optional"` // of the random numbers; default 0
	StateDir        strictyaml.String   `yaml:"state"       settings:"optional"` // default: no state is kept over restarts
}
