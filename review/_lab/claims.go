package main

import (
	"syscall"
	"time"
)

// runClaims kills a placer while a container stands, and starts it again. With the disruption, another client claims
// the container at a machine that does not run it before its owner claims it at the right one. Its end has to be told.
func runClaims(r *run) verdict {
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
	owner, err := connectClient(addr, r.record)
	if err != nil {
		return r.fail("client", err)
	}
	if !owner.place(firstCall, mergeKey) {
		return r.fail("the task does not stand", nil)
	}
	r.printf("placer: killed and started again")
	placer.end(syscall.SIGKILL)
	if _, err := r.restartPlatform(addr); err != nil {
		return r.fail("placer", err)
	}
	return claimAndEnd(r, addr, machines)
}

func claimAndEnd(r *run, addr string, machines []*platformMachine) verdict {
	holder, other := machines[0], machines[1]
	for i, m := range machines {
		if m.standing(mergeKey) > 0 {
			holder, other = m, machines[(i+1)%len(machines)]
		}
	}
	stranger, err := connectClient(addr, r.record)
	if err != nil {
		return r.fail("client", err)
	}
	owner, err := connectClient(addr, r.record)
	if err != nil {
		return r.fail("client", err)
	}
	if r.trouble {
		r.printf("stranger: claims %s at %s", firstCall, other.id)
		_ = stranger.send(claim(firstCall, other.id))
	}
	time.Sleep(200 * time.Millisecond)
	r.printf("owner: claims %s at %s", firstCall, holder.id)
	_ = owner.send(claim(firstCall, holder.id))
	time.Sleep(2 * time.Second)
	r.printf("machine %s: task %s comes to its end", holder.id, firstCall)
	holder.finish(firstCall)
	told := waitFor(10*time.Second, func() bool { return owner.answer(firstCall) != nil || stranger.answer(firstCall) != nil })
	r.printf("the end was told: %t", told)
	if !told {
		return ruleBroken
	}
	return ruleHeld
}

func claim(call, machine string) *message {
	m := mergeOffer(call, mergeKey)
	m.With["extras"] = "cores:14;memory:22;service:" + mergeKey + ";at:" + machine
	return m
}
