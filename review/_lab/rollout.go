package main

import (
	"net/http"
	"syscall"
	"time"
)

const rolloutCount = 4

// runRollout changes the cores of a job, whose containers are then replaced one by one. With the disruption the
// controller is restarted while a container is being replaced. The change was acknowledged, so it has to be carried out.
func runRollout(r *run) verdict {
	c, err := newCluster(r, 2, 1, sampleClasses)
	defer c.stop()
	if err != nil {
		return r.fail("cluster", err)
	}
	for _, m := range c.machines {
		m.stopTime = 2 * time.Second
	}
	const before = `{"id":"match","service":"match","workload":"matcher","customer":"schools","cores":0.5,` +
		`"memory_gib":1,"count":4}`
	const after = `{"service":"match","workload":"matcher","customer":"schools","cores":1,"memory_gib":2,"count":4}`
	if status, _ := c.call(http.MethodPost, "/v1/jobs", "", before); status != http.StatusCreated {
		return r.fail("job", nil)
	}
	if !waitFor(15*time.Second, func() bool { return c.holding(0.5) == rolloutCount }) {
		return r.fail("the containers do not run", nil)
	}
	time.Sleep(time.Second)
	if status, _ := c.call(http.MethodPut, "/v1/jobs/match", "", after); status != http.StatusOK {
		return r.fail("change", nil)
	}
	if r.trouble {
		time.Sleep(time.Second)
		r.printf("controller: stopped with SIGTERM")
		c.controller.end(syscall.SIGTERM)
		time.Sleep(3 * time.Second)
		r.printf("controller: started again")
		if err := c.startController(); err != nil {
			return r.fail("controller", err)
		}
	}
	done := waitFor(75*time.Second, func() bool { return c.holding(1) == rolloutCount && c.holding(0.5) == 0 })
	c.call(http.MethodGet, "/v1/jobs/match", "", "")
	c.call(http.MethodGet, "/v1/containers", "", "")
	r.printf("running with 0.5 cores: %d, with 1 core: %d", c.holding(0.5), c.holding(1))
	if !done {
		return ruleBroken
	}
	return ruleHeld
}

// holding returns the number of containers with the given cores that run.
func (c *cluster) holding(cores float64) int {
	n := 0
	for _, m := range c.machines {
		m.mu.Lock()
		for _, h := range m.held {
			if h.spec.Cores == cores {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}
