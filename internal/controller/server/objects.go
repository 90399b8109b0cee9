package server

// Kinds of objects in the cache.
const (
	KindJobs       = "jobs"
	KindContainers = "containers"
	KindMachines   = "machines"
)

// Job is a job as defined by a client. It is stored and sent under the names in the tags.
type Job struct {
	ID            string            `json:"id"                   cbor:"id"`
	Labels        map[string]string `json:"labels,omitempty"     cbor:"labels,omitempty"`
	Service       string            `json:"service"              cbor:"service"`
	WorkloadClass string            `json:"workload"             cbor:"workload"`
	Tenant        string            `json:"customer,omitempty"   cbor:"customer,omitempty"`
	Cores         float64           `json:"cores"                cbor:"cores"`
	MemoryGiB     float64           `json:"memory_gib"           cbor:"memory_gib"`
	RunForMS      int64             `json:"run_for_ms,omitempty" cbor:"run_for_ms,omitempty"` // 0: no limit
	RunOnce       bool              `json:"once,omitempty"       cbor:"once,omitempty"`       // not restarted when done
	Count         int               `json:"count"                cbor:"count"`                // of containers
	Version       int64             `json:"version"              cbor:"version"`
}

// Container is one container of a job.
type Container struct {
	ID          string `json:"id"`
	Job         string `json:"job"`
	Index       int    `json:"index"` // within the job, from 0
	State       string `json:"state"`
	Terminating bool   `json:"leaving,omitempty"`
	Machine     string `json:"machine,omitempty"`
	Scheduler   string `json:"placer,omitempty"`   // name of the scheduler last asked to place it
	SinceMS     int64  `json:"since_ms"`           // Unix time of the last state change
	UntilMS     int64  `json:"until_ms,omitempty"` // Unix time of the next step
	Attempts    int    `json:"tries"`              // since the container last ran
	Starts      int    `json:"starts"`
	LastStatus  string `json:"last"` // text of the last answer or outcome
	Version     int64  `json:"version"`
}

// Machine is one machine of the machine list.
type Machine struct {
	ID            string  `json:"id"`
	Zone          int     `json:"hall"`
	MachineType   string  `json:"kind"`
	State         string  `json:"state"`
	FreeCores     float64 `json:"free_cores"`
	FreeMemoryGiB float64 `json:"free_memory_gib"`
	Incarnation   uint64  `json:"incarnation"`
	Version       int64   `json:"version"`
}
