package platform

import (
	"fmt"
	"strings"
)

// Identifiers of requests.
const (
	requestID      = "00000000000000aa"
	otherRequestID = "00000000000000bb"
	thirdRequestID = "00000000000000cc"
)

// settingsJSON has an idempotent workload class and one that is idempotent with a key, two machine types and two
// tenants.
const settingsJSON = `{"me":0,"balancers":1,"az":0,"azs":["hall a","hall-b"],"kinds":["small","large"],
 "registry_mode":"on_request",
 "classes":[{"name":"matcher","effect":"safe","aim_ms":700.0,"deadline_ms":6000.0,"credit":1.0},
  {"name":"report-run","effect":"keyed","group":"zone","window_ms":8000.0,"aim_ms":700.0,"deadline_ms":6000.0,
   "credit":2.0}],
 "tenants":[{"name":"schools","share":0.7},{"name":"offices","share":0.3}],
 "permissions":{"probes":true,"max_attempts":4,"connect_timeout_ms":250.0,"conn_idle_ms":30000.0},
 "rules":{"ask_every_ms":10000.0,"cold_ms":17000.0,"grace_to_answer_ms":8.0,"overload_for_ms":3000.0},
 "family_info":{"admit_cores":2.0,"mem_booking":1.5,"unit_cores":1.0,"unit_memory":2.0,"yes_at":"running",
  "use_notes":false,"view":true,"fresh_offers":30.0,"cpu_of_kind":[24,48],"kind_memory":[60.0,120.0],
  "class_kind":[-1,-1],"class_most":[2,2],"spread_over":["silent","silent"],"quota_cores":[100.0,50.0]},"note":null}`

const closedAddr = "127.0.0.1:1" // no process listens there

func machineJSON(id, addr, state string, startedAtMillis int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"hall-b","class":"large","block":2,"health":%q,"share":1,`+
		`"born_ms":%d,"free":[40.5,100]}`, id, addr, state, startedAtMillis)
}

// deltaJSON is an event that names some machines.
func deltaJSON(offset int, machines ...string) string { return eventJSON(offset, "false", machines) }

// snapshotJSON is an event after which all machines that it does not name are gone.
func snapshotJSON(offset int, machines ...string) string { return eventJSON(offset, "true", machines) }

func eventJSON(offset int, whole string, machines []string) string {
	return fmt.Sprintf(`{"offset":%d,"topology":{"seq":%d,"whole":%s,"hosts":[%s]}}`,
		offset, offset, whole, strings.Join(machines, ","))
}

// configJSON is a configuration file of the platform with some known events.
func configJSON(discovery string, descriptors int, known ...string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"bus":%q,
 "known":{"offset":%d,"batch":[%s]},"settings":%s}`,
		descriptors, discovery, len(known), strings.Join(known, ","), settingsJSON)
}

// offerLine is a request with more appended to its extras.
func offerLine(id, more string) string {
	return `{"op":"offer","call":"` + id + `","with":{"class":"report-run","left":"2000","tenant":"offices",` +
		`"key":"k` + id + `","idem":"i1","extras":"cores:1;memory:2;service:s1` + more + `"},"desc":"v=0\r\n"}`
}

// offerLineWithin is a request that waits for its answer for some milliseconds at most.
func offerLineWithin(id, milliseconds string) string {
	return strings.Replace(offerLine(id, ""), `"2000"`, `"`+milliseconds+`"`, 1)
}

func acceptLine(id string) string { return `{"op":"accept","call":"` + id + `","with":{},"desc":"d"}` }

func endLine(id string, cause int) string {
	return fmt.Sprintf(`{"op":"end","call":"%s","with":{},"why":%d}`, id, cause)
}

func endedLine(id string) string { return `{"op":"ended","call":"` + id + `","with":{}}` }

func testLine(number int) string {
	return fmt.Sprintf(`{"op":"test","call":"%016x","with":{},"why":0}`, number)
}
