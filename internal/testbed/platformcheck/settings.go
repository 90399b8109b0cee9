package platformcheck

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

const (
	machinesPerRackGroup = 2
	machineType          = "small"

	stopSendingWithin = 250 * time.Millisecond // grace period of rule 3
	keyedWindow       = 8 * time.Second
	wireSlack         = 50 * time.Millisecond // added to every limit for the delay of sockets
	answerSlack       = 500 * time.Millisecond
	longestDrain      = 3 * time.Second        // after TERM
	killGrace         = 700 * time.Millisecond // after the drain, until the process must have ended
)

// effect says whether a request may be repeated.
type effect uint8

const (
	effectSafe effect = iota
	effectKeyed
	effectUnsafe
)

// workloadClass is a workload class of the settings.
type workloadClass struct {
	name   string
	effect effect
}

var workloadClasses = [...]workloadClass{{"matcher", effectSafe}, {"report-run", effectKeyed}, {"ledger", effectUnsafe}}

var zoneNames = [...]string{"hall a", "hall b"}

// settingsJSON returns the settings for the parameters of a run. They have a workload class of each effect.
func settingsJSON(params worldParams) string {
	ms := params.deadline.Milliseconds()
	var scopes, limits []string
	for _, limit := range params.spread {
		scopes = append(scopes, strconv.Quote(string(limit.settingsScope())))
		limits = append(limits, strconv.Itoa(limit.maxContainers))
	}
	slowStart := params.slowStart
	return fmt.Sprintf(`{"me":%d,"balancers":%d,"az":0,"azs":[%q,%q],"kinds":[%q],"registry_mode":"on_request",
 "classes":[{"name":"matcher","effect":"safe","aim_ms":100.0,"deadline_ms":%d,"credit":1.0},
  {"name":"report-run","effect":"keyed","group":"all","window_ms":%d,"aim_ms":100.0,"deadline_ms":%d,"credit":2.0},
  {"name":"ledger","effect":"unsafe","aim_ms":100.0,"deadline_ms":%d,"credit":2.0}],
 "tenants":[{"name":"schools","share":0.7},{"name":"offices","share":0.3}],
 "permissions":{"probes":true,"cancel":true,"second_copies":false,"retry_after":true,"max_retry_after_ms":3000.0,
  "max_attempts":4,"connect_timeout_ms":%d,"conn_idle_ms":30000.0},
 "rules":{"ask_every_ms":10000.0,"cold_ms":%d,"cold_from":0.28,"tip_multiple":2.5,"grace_to_answer_ms":8.0,
  "overload_for_ms":%d,"stop_sending_within_ms":%d},
 "load_info":{"fields":["x0","x1"],"how":"pull"},
 "family_info":{"admit_cores":2.0,"mem_booking":1.5,"unit_cores":1.0,"unit_memory":2.0,"yes_at":"running",
  "use_notes":false,"view":true,"fresh_offers":%d,"cpu_of_kind":[24],"kind_memory":[60.0],
  "class_kind":[-1,-1,-1],"class_most":[%s],"spread_over":[%s],
  "quota_cores":[100.0,50.0]}}`,
		slowStart.index, slowStart.schedulers, zoneNames[0], zoneNames[1], machineType,
		ms, keyedWindow.Milliseconds(), ms, ms,
		slowStart.connectTimeout.Milliseconds(), slowStart.period.Milliseconds(), slowStart.window.Milliseconds(),
		stopSendingWithin.Milliseconds(), slowStart.budget, strings.Join(limits, ","), strings.Join(scopes, ","))
}

// configJSON returns the configuration of an incarnation of the process.
func configJSON(seed uint64, discovery netip.AddrPort, params worldParams, known []string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":64,"sockets":%d},
 "bus":%q,"known":{"offset":%d,"batch":[%s]},"settings":%s}`,
		processAddr, seed, params.descriptors, discovery, len(known), strings.Join(known, ","), settingsJSON(params))
}

// Addresses in the simulated network.
var (
	processAddr    = netip.MustParseAddrPort("10.0.0.1:5000")
	discoveryAddrs = [...]netip.AddrPort{
		netip.MustParseAddrPort("10.0.1.1:6000"), netip.MustParseAddrPort("10.0.1.2:6000"),
	}
)

func machineAddr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 5070)
}
