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

	stopSendingWithin = 250 * time.Millisecond // the grace of rule 3
	keyedWindow       = 8 * time.Second
	wireSlack         = 50 * time.Millisecond // every limit is longer by it on sockets
	answerSlack       = 500 * time.Millisecond
	longestDrain      = 3 * time.Second
	killGrace         = 700 * time.Millisecond
)

// effect says what a repeat of a request may do.
type effect uint8

const (
	effectSafe effect = iota
	effectKeyed
	effectUnsafe
)

// workloadClass is a class of requests by its name and its effect.
type workloadClass struct {
	name   string
	effect effect
}

var workloadClasses = [...]workloadClass{{"matcher", effectSafe}, {"report-run", effectKeyed}, {"ledger", effectUnsafe}}

var zoneNames = [...]string{"hall a", "hall b"}

// settingsJSON has a class of each effect; what the form says differs from run to run.
func settingsJSON(form worldParams) string {
	ms := form.deadline.Milliseconds()
	var scopes, most []string
	for _, limit := range form.spread {
		scopes = append(scopes, strconv.Quote(string(limit.settingsScope())))
		most = append(most, strconv.Itoa(limit.maxContainers))
	}
	cold := form.slowStart
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
		cold.index, cold.schedulers, zoneNames[0], zoneNames[1], machineType, ms, keyedWindow.Milliseconds(), ms, ms,
		cold.connectTimeout.Milliseconds(), cold.period.Milliseconds(), cold.window.Milliseconds(),
		stopSendingWithin.Milliseconds(), cold.budget, strings.Join(most, ","), strings.Join(scopes, ","))
}

// configJSON is the platform's file of an incarnation.
func configJSON(seed uint64, bus netip.AddrPort, form worldParams, known []string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":64,"sockets":%d},
 "bus":%q,"known":{"offset":%d,"batch":[%s]},"settings":%s}`,
		processAddr, seed, form.descriptors, bus, len(known), strings.Join(known, ","), settingsJSON(form))
}

// Addresses of the simulation.
var (
	processAddr    = netip.MustParseAddrPort("10.0.0.1:5000")
	discoveryAddrs = [...]netip.AddrPort{
		netip.MustParseAddrPort("10.0.1.1:6000"), netip.MustParseAddrPort("10.0.1.2:6000"),
	}
)

func machineAddr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 5070)
}
