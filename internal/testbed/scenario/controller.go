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

// controllerProcess is a keeper and its API.
type controllerProcess struct {
	api     string
	program string
	file    string
	log     string
	process *exec.Cmd
}

// newController writes a keeper's file beside that of the first placer. Doors are those of taps where any are given; with a
// state folder the keeper keeps its jobs.
func newController(dir, program, list string, placers []*SchedulerProcess, doors []string, state string) (k controllerProcess, err error) {
	k = controllerProcess{program: program, file: filepath.Join(dir, "keeper.yaml"), log: filepath.Join(dir, "keeper.log")}
	if k.api, err = freePort(); err != nil {
		return k, err
	}
	if doors == nil {
		for _, p := range placers {
			doors = append(doors, p.Address)
		}
	}
	text := fmt.Sprintf("name: keeper\napi: %s\nplacer_file: %s\nlist: %s\ndoors: [%s]\n", k.api, filepath.Base(placers[0].file), list,
		strings.Join(doors, ", "))
	if state != "" {
		text += "state: " + state + "\n"
	}
	return k, os.WriteFile(k.file, []byte(text), 0o644)
}

// start brings it up and waits until it knows so many machines.
func (k *controllerProcess) start(machines int) error {
	if err := k.launch(); err != nil {
		return err
	}
	return k.waitUntil("the keeper answers and knows all machines", 20*time.Second, func() bool {
		var all struct{ Items []any }
		return k.get("/v1/machines?limit=1000", &all) == nil && len(all.Items) == min(machines, 1000)
	})
}

func (k *controllerProcess) launch() error {
	k.process = exec.Command(k.program, "controller", "-c", k.file)
	log, err := os.OpenFile(k.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	k.process.Stderr = log
	return k.process.Start()
}

func (k *controllerProcess) signal(s syscall.Signal) {
	if k.process != nil && k.process.Process != nil {
		k.process.Process.Signal(s)
		k.process.Wait()
	}
}

func (k *controllerProcess) terminate() { k.signal(syscall.SIGTERM) }

func (k *controllerProcess) waitUntil(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}

func (k *controllerProcess) get(path string, into any) error { return k.do("GET", path, nil, into) }

func (k *controllerProcess) do(method, path string, in, into any) error {
	status, data, err := k.request(method, path, "", in)
	if err != nil {
		return err
	}
	if status >= 400 {
		return fmt.Errorf("%s %s: %s", method, path, data)
	}
	if into != nil {
		return json.Unmarshal(data, into)
	}
	return nil
}

// changeJob changes a job, by a key that a repeat has too, and returns the job's version.
func (k *controllerProcess) changeJob(method, path, key string, in any) (status int, version int64, err error) {
	status, data, err := k.request(method, path, key, in)
	var j struct{ Version int64 }
	if err == nil && status < 300 && len(data) > 0 {
		err = json.Unmarshal(data, &j)
	}
	return status, j.Version, err
}

func (k *controllerProcess) request(method, path, key string, in any) (status int, data []byte, err error) {
	var body io.Reader
	if in != nil {
		p, _ := json.Marshal(in)
		body = bytes.NewReader(p)
	}
	r, err := http.NewRequest(method, "http://"+k.api+path, body)
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	data, err = io.ReadAll(a.Body)
	return a.StatusCode, data, err
}

type jobDocument map[string]any

func (k *controllerProcess) createJob(id, workload string, count int, cores, memory float64) error {
	return k.do("POST", "/v1/jobs", jobDocument{"id": id, "service": id, "workload": workload, "cores": cores, "memory_gib": memory,
		"count": count, "run_for_ms": 3600_000}, nil)
}

func (k *controllerProcess) deleteJob(id string) error {
	if err := k.do("DELETE", "/v1/jobs/"+id, nil, nil); err != nil {
		return err
	}
	return k.waitUntil(id+" has ended", 30*time.Second, func() bool { return k.countContainers(id, "") == 0 })
}

func (k *controllerProcess) countContainers(job, state string) int {
	var all struct{ Items []struct{ State string } }
	if k.get("/v1/containers?limit=1000&field=job="+job, &all) != nil {
		return -1
	}
	n := 0
	for _, c := range all.Items {
		if state == "" || c.State == state {
			n++
		}
	}
	return n
}

func (k *controllerProcess) waitRunning(job string, n int) error {
	return k.waitUntil(fmt.Sprintf("%d of %s run", n, job), 30*time.Second, func() bool { return k.countContainers(job, "running") == n })
}
