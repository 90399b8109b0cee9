package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	controllerTimeout = 20 * time.Second // until a controller answers and knows all machines
	jobTimeout        = 30 * time.Second // until a job runs or has ended
	pageLimit         = 1000             // items that the API lists at most at once
	hourMS            = 3600_000
)

// The states of a container in the API.
const (
	anyState     = ""
	stateRunning = "running"
)

// controllerProcess is a controller's process and a client of its API.
type controllerProcess struct {
	api     string
	program string
	file    string
	log     string
	process *exec.Cmd
}

// jobSpec is a job as the API takes it.
type jobSpec struct {
	ID        string  `json:"id,omitempty"`
	Service   string  `json:"service"`
	Workload  string  `json:"workload"`
	Cores     float64 `json:"cores"`
	MemoryGiB float64 `json:"memory_gib"`
	Count     int     `json:"count"`
	RunForMS  int     `json:"run_for_ms"`
}

// newController writes a controller's settings file beside that of the first scheduler. It submits to addresses, or to
// the schedulers' own where none are given; with a state folder it persists its jobs.
func newController(
	dir, program, list string,
	schedulers []*SchedulerProcess,
	addresses []string,
	state string,
) (*controllerProcess, error) {
	api, err := freePort()
	if err != nil {
		return nil, err
	}
	k := &controllerProcess{
		api:     api,
		program: program,
		file:    filepath.Join(dir, "keeper.yaml"),
		log:     filepath.Join(dir, "keeper.log"),
	}
	if addresses == nil {
		for _, p := range schedulers {
			addresses = append(addresses, p.Address)
		}
	}
	text := fmt.Sprintf(
		"name: keeper\napi: %s\nplacer_file: %s\nlist: %s\ndoors: [%s]\n",
		k.api,
		filepath.Base(schedulers[0].file),
		list,
		strings.Join(addresses, ", "),
	)
	if state != "" {
		text += "state: " + state + "\n"
	}
	return k, os.WriteFile(k.file, []byte(text), 0o644)
}

// startController starts a controller before the cluster's schedulers and waits until it knows all machines.
func (c *Cluster) startController(program string, addresses []string, state string) (*controllerProcess, error) {
	k, err := newController(c.Dir, program, c.ListAddr, c.Schedulers, addresses, state)
	if err != nil {
		return nil, err
	}
	if err := k.start(len(c.Machines)); err != nil {
		k.terminate()
		return nil, err
	}
	return k, nil
}

// start starts the process and waits until it knows so many machines.
func (k *controllerProcess) start(machines int) error {
	if err := k.launch(); err != nil {
		return err
	}
	return waitUntil("the keeper answers and knows all machines", controllerTimeout, func() bool {
		var all struct{ Items []any }
		return k.get(fmt.Sprintf("/v1/machines?limit=%d", pageLimit), &all) == nil &&
			len(all.Items) == min(machines, pageLimit)
	})
}

func (k *controllerProcess) launch() error {
	k.process = exec.Command(k.program, "controller", "-c", k.file)
	log, err := os.OpenFile(k.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer closeQuietly(log) // the process has a descriptor of its own
	k.process.Stderr = log
	return k.process.Start()
}

// signal sends a signal that ends the process and waits for its exit.
func (k *controllerProcess) signal(s syscall.Signal) {
	if k.process != nil && k.process.Process != nil {
		_ = k.process.Process.Signal(s) // fails only if the process has exited already
		_ = k.process.Wait()            // a process that was killed has no clean exit
	}
}

func (k *controllerProcess) terminate() { k.signal(syscall.SIGTERM) }

// waitUntil waits until a condition holds, for a time at most.
func waitUntil(what string, atMost time.Duration, holds func() bool) error {
	for end := time.Now().Add(atMost); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", atMost, what)
		}
	}
	return nil
}

func (k *controllerProcess) get(path string, into any) error {
	return k.do(http.MethodGet, path, nil, into)
}

// do sends a request and decodes its response, unless into is nil.
func (k *controllerProcess) do(method, path string, in, into any) error {
	status, data, err := k.request(method, path, "", in)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %s", method, path, data)
	}
	if into != nil {
		return json.Unmarshal(data, into)
	}
	return nil
}

// changeJob changes a job, by an idempotency key that a retry has too, and returns the job's version.
func (k *controllerProcess) changeJob(method, path, key string, in any) (status int, version int64, err error) {
	status, data, err := k.request(method, path, key, in)
	var job struct{ Version int64 }
	if err == nil && status < http.StatusMultipleChoices && len(data) > 0 {
		err = json.Unmarshal(data, &job)
	}
	return status, job.Version, err
}

func (k *controllerProcess) request(method, path, key string, in any) (status int, data []byte, err error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+k.api+path, body)
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer closeQuietly(response.Body)
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// watch opens a watch of a kind of object, one JSON line for each event.
func (k *controllerProcess) watch(kind string) (io.ReadCloser, error) {
	response, err := http.Get("http://" + k.api + "/v1/watch?kinds=" + kind)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// createJob creates a job whose service has the job's name.
func (k *controllerProcess) createJob(id, workload string, count int, cores, memory float64) error {
	return k.do(http.MethodPost, "/v1/jobs", newJobSpec(id, workload, count, cores, memory), nil)
}

// replaceJob replaces a job by one whose service has the job's name.
func (k *controllerProcess) replaceJob(id, workload string, count int, cores, memory float64) error {
	return k.do(http.MethodPut, "/v1/jobs/"+id, newJobSpec(id, workload, count, cores, memory), nil)
}

func newJobSpec(id, workload string, count int, cores, memory float64) jobSpec {
	return jobSpec{
		ID:        id,
		Service:   id,
		Workload:  workload,
		Cores:     cores,
		MemoryGiB: memory,
		Count:     count,
		RunForMS:  hourMS,
	}
}

// deleteJob deletes a job and waits until its containers have ended.
func (k *controllerProcess) deleteJob(id string) error {
	if err := k.do(http.MethodDelete, "/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return waitUntil(id+" has ended", jobTimeout, func() bool { return k.countContainers(id, anyState) == 0 })
}

// countContainers counts a job's containers in a state; it returns -1 if the API does not answer.
func (k *controllerProcess) countContainers(job, state string) int {
	var all struct{ Items []struct{ State string } }
	if k.get(fmt.Sprintf("/v1/containers?limit=%d&field=job=%s", pageLimit, job), &all) != nil {
		return -1
	}
	n := 0
	for _, container := range all.Items {
		if state == anyState || container.State == state {
			n++
		}
	}
	return n
}

// countByState counts the containers of all jobs in a state; it returns -1 if the API does not answer.
func (k *controllerProcess) countByState(state string) int {
	var all struct{ Items []any }
	if k.get(fmt.Sprintf("/v1/containers?limit=%d&field=state=%s", pageLimit, state), &all) != nil {
		return -1
	}
	return len(all.Items)
}

// waitRunning waits until exactly n containers of a job run.
func (k *controllerProcess) waitRunning(job string, n int) error {
	return waitUntil(
		fmt.Sprintf("%d of %s run", n, job),
		jobTimeout,
		func() bool { return k.countContainers(job, stateRunning) == n },
	)
}
