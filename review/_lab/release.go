package main

import (
	"syscall"
	"time"
)

const (
	firstCall  = "9b1f03aa5c7e2d41"
	secondCall = "9b1f03aa5c7e2d42"
	mergeKey   = "7f3a9c21e0b4d655"
	otherCall  = "9b1f03aa5c7e2d40"
	otherKey   = "7f3a9c21e0b4d654"      // another service, which is not stopped
	askAgain   = 2900 * time.Millisecond // owners ask again 0.5 to 3 s after they have stopped a service
)

// runRelease has an owner release one of two tasks that stand and ask for it again. With the disruption, the connection to
// the task's machine is reset under the release, which is not read. The release has to reach the machine, which is up
// all the time and takes new connections.
func runRelease(r *run) verdict {
	b, err := startBus(1)
	if err != nil {
		return r.fail("bus", err)
	}
	var machines []*platformMachine
	for _, id := range []string{"s-00c41f7a", "s-00c41f7b", "s-00c41f7c"} {
		m, err := startPlatformMachine(id, r.record)
		if err != nil {
			return r.fail("machine", err)
		}
		machines = append(machines, m)
	}
	placer, addr, err := startPlatform(r, b, machines...)
	if err != nil {
		return r.fail("placer", err)
	}
	defer placer.end(syscall.SIGKILL)
	client, err := connectClient(addr, r.record)
	if err != nil {
		return r.fail("client", err)
	}
	if !client.place(otherCall, otherKey) || !client.place(firstCall, mergeKey) {
		return r.fail("the task does not stand", nil)
	}
	return releaseAndAskAgain(r, client, machines)
}

func releaseAndAskAgain(r *run, client *platformClient, machines []*platformMachine) verdict {
	var first *platformMachine
	for _, m := range machines {
		if m.standing(mergeKey) > 0 {
			first = m
		}
	}
	time.Sleep(time.Second)
	if r.trouble {
		first.resetNext()
	}
	client.release(firstCall)
	time.Sleep(askAgain)
	if !client.place(secondCall, mergeKey) {
		return r.fail("the task does not stand again", nil)
	}
	copies := 0
	for _, m := range machines {
		copies += m.standing(mergeKey)
	}
	r.printf("copies of the task that must never run twice: %d", copies)
	for range 2 { // for the record: does it help that the owner says it again?
		if first.readRelease(firstCall) {
			break
		}
		client.release(firstCall)
		waitFor(8*time.Second, func() bool { return first.readRelease(firstCall) })
	}
	r.printf("machine %s: it has read the release: %t; task %s stands: %t", first.id, first.readRelease(firstCall),
		firstCall, first.standing(mergeKey) > 0)
	if copies > 1 {
		return ruleBroken
	}
	return ruleHeld
}

// place sends a set-up of the task and reports whether it stands.
func (c *platformClient) place(call, key string) bool {
	c.record.printf("client: sends offer %s, key %s", call, key)
	if c.send(mergeOffer(call, key)) != nil {
		return false
	}
	answer := c.waitAnswer(call, 10*time.Second)
	return answer != nil && answer.Op == "accept"
}

func (c *platformClient) release(call string) {
	c.record.printf("client: sends end %s", call)
	_ = c.send(&message{Op: "end", Call: call, Why: cause(16)})
}

// startPlatform starts a placer as the deploy file does, and waits until it passes a test.
func startPlatform(r *run, b *bus, machines ...*platformMachine) (*process, string, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, "", err
	}
	file, err := writePlatformConfig(r.dir, addr, b.listener.Addr().String(), machines)
	if err != nil {
		return nil, "", err
	}
	r.platformEnv = []string{"ROUTER_NAME=n1", "ROUTER_LISTEN=" + addr, "ROUTER_CONFIG=" + file}
	placer, err := r.restartPlatform(addr)
	return placer, addr, err
}

// restartPlatform starts the placer and waits until it passes a test.
func (r *run) restartPlatform(addr string) (*process, error) {
	placer, err := startProgram(r.dir, "placer.log", r.platformEnv, "platform")
	if err != nil {
		return nil, err
	}
	waitFor(10*time.Second, func() bool {
		c, err := connectClient(addr, r.record)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		_ = c.send(&message{Op: "test", Call: "00000000000000aa", Why: cause(0)})
		a := c.waitAnswer("00000000000000aa", time.Second)
		return a != nil && a.why() == 1
	})
	return placer, nil
}
