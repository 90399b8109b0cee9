package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const sampleClasses = `  - {name: matcher, idempotency: idempotent, latency_objective: 700ms, placement_timeout: 6s, priority_weight: 1}
  - {name: report-run, idempotency: idempotent-with-key, dedup_scope: zone, dedup_window: 8s,
     latency_objective: 700ms, placement_timeout: 6s, priority_weight: 2}
  - {name: corpus-merge, idempotency: at-most-once, latency_objective: 2s, placement_timeout: 8s, priority_weight: 4,
     machine_type: large, spread_scope: machine, max_per_scope: 2}`

const fleetClasses = `  - {name: submission-check, idempotency: idempotent-with-key, dedup_scope: fleet, dedup_window: 8s,
     latency_objective: 700ms, placement_timeout: 5s, priority_weight: 5}`

// runOnce kills the controller while a container of a job that runs once is running, and starts it again after the
// container has finished. What has finished must not be started again.
func runOnce(r *run) verdict {
	c, err := newCluster(r, 2, 1, sampleClasses)
	defer c.stop()
	if err != nil {
		return r.fail("cluster", err)
	}
	const job = `{"id":"report","service":"report","workload":"report-run","customer":"schools","cores":1,` +
		`"memory_gib":2,"run_for_ms":8000,"once":true,"count":1}`
	if status, _ := c.call(http.MethodPost, "/v1/jobs", "", job); status != http.StatusCreated {
		return r.fail("job", nil)
	}
	if !waitFor(10*time.Second, func() bool { return c.containerState("report.0") == "running" }) {
		return r.fail("the container does not run", nil)
	}
	if r.trouble {
		r.printf("controller: killed")
		c.controller.end(syscall.SIGKILL)
	}
	if !waitFor(15*time.Second, func() bool { return c.heldAnywhere() == 0 }) {
		return r.fail("the container has not finished", nil)
	}
	if r.trouble {
		time.Sleep(time.Second)
		r.printf("controller: started again")
		if err := c.startController(); err != nil {
			return r.fail("controller", err)
		}
	}
	waitFor(20*time.Second, func() bool { return startsOfService(c.machines, "report") > 1 })
	c.call(http.MethodGet, "/v1/containers/report.0", "", "")
	n := startsOfService(c.machines, "report")
	r.printf("the container of the job that runs once was started %d times", n)
	if n > 1 {
		return ruleBroken
	}
	return ruleHeld
}

func (c *cluster) heldAnywhere() int {
	n := 0
	for _, m := range c.machines {
		n += m.heldCount()
	}
	return n
}

// container returns a container as the API shows it.
func (c *cluster) container(id string) (shown struct{ State, Placer string }) {
	status, body := c.call(http.MethodGet, "/v1/containers/"+id, "", "")
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(body), &shown) // no state is shown of what cannot be read
	}
	return shown
}

func (c *cluster) containerState(id string) string { return c.container(id).State }

// runRetry sends a creation again with its idempotency key: the first answer was lost on its way to the client, and the
// job has finished and was deleted since. With the disruption the controller is stopped and started again in between.
// The second request must get the answer to the first, and must start nothing.
func runRetry(r *run) verdict {
	c, err := newCluster(r, 2, 1, sampleClasses)
	defer c.stop()
	if err != nil {
		return r.fail("cluster", err)
	}
	const job = `{"id":"merge","service":"merge","workload":"corpus-merge","customer":"schools","cores":2,` +
		`"memory_gib":4,"run_for_ms":3000,"once":true,"count":1}`
	if err := c.postLosingAnswer("/v1/jobs", "key-1", job); err != nil {
		return r.fail("job", err)
	}
	if !waitFor(15*time.Second, func() bool { return c.containerState("merge.0") == "done" }) {
		return r.fail("the container is not done", nil)
	}
	if status, _ := c.call(http.MethodDelete, "/v1/jobs/merge", "", ""); status != http.StatusNoContent {
		return r.fail("delete", nil)
	}
	if r.trouble {
		r.printf("controller: stopped with SIGTERM and started again")
		c.controller.end(syscall.SIGTERM)
		if err := c.startController(); err != nil {
			return r.fail("controller", err)
		}
	}
	time.Sleep(2 * time.Second)
	if status, _ := c.call(http.MethodPost, "/v1/jobs", "key-1", job); status == 0 {
		return r.fail("the API does not answer", nil)
	}
	waitFor(10*time.Second, func() bool { return startsOfService(c.machines, "merge") > 1 })
	n := startsOfService(c.machines, "merge")
	r.printf("the container that must never run twice was started %d times", n)
	if n > 1 {
		return ruleBroken
	}
	return ruleHeld
}

// runWindow loses one answer in four of three of the four machines, for 18 s. A key must not be sent again after the
// time for which the machines drop its repeats, so none may run twice.
func runWindow(r *run) verdict {
	c, err := newCluster(r, 4, 1, fleetClasses)
	defer c.stop()
	if err != nil {
		return r.fail("cluster", err)
	}
	if r.trouble {
		loss := &lossShare{}
		for _, m := range c.machines[:3] {
			m.loses = loss.lose
		}
	}
	for _, name := range []string{"essays", "theses", "papers"} {
		job := fmt.Sprintf(`{"id":"%s","service":"%s","workload":"submission-check","customer":"schools","cores":0.5,`+
			`"memory_gib":1,"run_for_ms":7000,"once":true,"count":6}`, name, name)
		if status, _ := c.call(http.MethodPost, "/v1/jobs", "", job); status != http.StatusCreated {
			return r.fail("job", nil)
		}
	}
	waitFor(45*time.Second, func() bool { return len(repeatedKeys(c.machines)) > 0 })
	repeated := repeatedKeys(c.machines)
	r.printf("keys that were started more than once: %d %v", len(repeated), repeated)
	if len(repeated) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
