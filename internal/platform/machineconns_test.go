package platform

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"glenport/internal/eventloop"
	"glenport/internal/platform/connmanager"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

// An end that was lost with its connection is read on the next connection, which is opened although another one is
// established.
func TestEndIsReadAfterConnectionLoss(t *testing.T) {
	numbers := make(chan int, 10)
	for i := range 10 {
		numbers <- i
	}
	both := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		n := <-numbers
		if n >= 2 {
			m.send(endLine(requestID, 16))
			m.receive()
			return
		}
		msg := m.receive()
		if n == 0 {
			both <- true
		} else {
			<-both // each offer has a connection of its own
		}
		m.send(acceptLine(msg.RequestID))
		if msg.RequestID == requestID {
			m.send("noise")
		}
		m.receive()
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.request(requestID)
	client.send(offerLine(otherRequestID, ""))
	began := time.Now()
	for _, op := range []jsonlines.Op{jsonlines.OpAccept, jsonlines.OpAccept, jsonlines.OpEnd} {
		if msg := client.receive(); msg == nil || msg.Op != op || op == jsonlines.OpEnd && msg.RequestID != requestID {
			t.Fatalf("received %+v, want %s", msg, op)
		}
	}
	if took := time.Since(began); took > time.Second { // the time in which clients have to be notified
		t.Errorf("notified after %v", took)
	}
}

// A half-closed connection is read until the machine closes it: an end that the machine reports in that time is
// handled, and nothing more is sent.
func TestHalfClosedConnIsRead(t *testing.T) {
	addr := serveTCP(t, func(m *peer) {
		if msg := m.receive(); msg != nil {
			m.send(`{"op":"tested","call":"` + msg.RequestID + `","with":{},"why":1}`)
		}
		m.expectClosed()
		m.send(endLine(requestID, 16))
	})
	r := startWithMachineA(t, addr, func(e scheduler.Event) []scheduler.Action {
		switch e.(type) {
		case scheduler.ContainerAdopted:
			return []scheduler.Action{scheduler.Probe{Machine: "a"}}
		case scheduler.ProbeCompleted:
			return []scheduler.Action{scheduler.Disconnect{Machine: "a"}}
		}
		return nil
	})
	client := r.dialClient()
	client.send(offerLine(requestID, ";at:a"))
	client.expectEnd(requestID, 16)
}

// No offer is sent on a connection that its machine may be closing as idle.
func TestIdleConnCarriesNoAttempt(t *testing.T) {
	var mu sync.Mutex
	conns := 0
	carried := map[string]int{}
	addr := serveTCP(t, func(m *peer) {
		mu.Lock()
		conns++
		n := conns
		mu.Unlock()
		for msg := m.receive(); msg != nil; msg = m.receive() {
			mu.Lock()
			carried[msg.RequestID] = n
			mu.Unlock()
			m.send(acceptLine(msg.RequestID))
		}
	})
	r := startWithMachineA(t, addr, attemptOnA(0))
	client := r.dialClient()
	for i, id := range []string{requestID, otherRequestID, thirdRequestID} {
		if i == 2 {
			r.runOnLoop(func() {
				for _, mc := range r.server.machines.lookup("a").conns.conns {
					mc.lastUsedAt -= r.server.env.config.MachineIdleTimeout / 2
				}
			})
		}
		client.send(offerLine(id, ""))
		client.expect(jsonlines.OpAccept, id)
	}
	mu.Lock()
	defer mu.Unlock()
	testutil.Expect(t, carried[requestID] == carried[otherRequestID] && carried[thirdRequestID] != carried[requestID],
		"carried by %v", carried)
}

// With more machines than descriptors, the number of connections stays within its limit, each offer is sent, and each
// end is read, even if the connection was evicted.
func TestMachineConnLimitHolds(t *testing.T) {
	// 16 connections are for clients, and 32 descriptors are for the watch, bursts and the program itself
	const machines, descriptors, limit = 40, 64, 16
	r := startWithNumberedMachines(t, descriptors, machines, lateReportingMachine)
	client := r.dialClient()
	most := 0
	for i := range machines {
		client.send(offerLine(numberedRequest(i), ""))
		if msg := client.receive(); msg == nil || msg.Op == jsonlines.OpEnd {
			t.Fatalf("attempt %d: the client received %+v", i, msg)
		}
		r.runOnLoop(func() {
			most = max(most, r.server.machines.pool.openConns)
			r.ageMachineConns()
		})
	}
	notified := map[string]bool{}
	for len(notified) < machines {
		msg := client.receive()
		testutil.Require(t, msg != nil, "%d of %d ends were received", len(notified), machines)
		if msg.Op == jsonlines.OpEnd {
			notified[msg.RequestID] = true
			client.send(endedLine(msg.RequestID))
		}
	}
	r.runOnLoop(func() { testutil.Expect(t, most <= limit, "%d connections at once, %d allowed", most, limit) })
}

// startWithNumberedMachines starts a server with few descriptors that attempts each container on the machine with its
// number.
func startWithNumberedMachines(t *testing.T, descriptors, machines int, serve func(*testing.T) string) *testServer {
	t.Helper()
	listed := make([]string, machines)
	for i := range listed {
		listed[i] = machineJSON(fmt.Sprintf("m%04x", i), serve(t), "ready", 0)
	}
	config := configJSON(silentDiscovery(t), descriptors, snapshotJSON(1, listed...))
	return startServer(t, attemptOnNumberedMachine, config)
}

func numberedRequest(i int) string { return fmt.Sprintf("%016x", i) }

// attemptOnNumberedMachine attempts each container on the machine with its number, and rejects it after an outcome.
func attemptOnNumberedMachine(e scheduler.Event) []scheduler.Action {
	switch e := e.(type) {
	case scheduler.RequestReceived:
		return []scheduler.Action{
			scheduler.StartAttempt{ID: e.ID, Machine: scheduler.MachineID("m" + string(e.ID[12:]))},
		}
	case scheduler.AttemptEnded:
		if !e.Final {
			return []scheduler.Action{scheduler.Reject{ID: e.ID}}
		}
	}
	return nil
}

// lateReportingMachine accepts each offer. Its containers end at once, but it reports that on its next connections
// only.
func lateReportingMachine(t *testing.T) string {
	t.Helper()
	var mu sync.Mutex
	var ended []string
	return serveTCP(t, func(m *peer) {
		mu.Lock()
		for _, id := range ended {
			m.send(endLine(id, 16))
		}
		mu.Unlock()
		for msg := m.receive(); msg != nil; msg = m.receive() {
			if msg.Op == jsonlines.OpOffer {
				mu.Lock()
				ended = append(ended, msg.RequestID)
				mu.Unlock()
				m.send(acceptLine(msg.RequestID))
			}
		}
	})
}

// ageMachineConns, called on the loop, marks each connection as unused for a second, so that idle ones may be evicted.
func (r *testServer) ageMachineConns() {
	for _, m := range r.server.machines.machines {
		for _, mc := range m.conns.conns {
			mc.lastUsedAt -= eventloop.Second
		}
	}
}

// A burst of clients and a burst of attempts, with more machines than connections, leave a descriptor for the discovery
// watch at all times.
func TestClientBurstLeavesDescriptorReserve(t *testing.T) {
	const descriptors, machines, clients = 64, 60, 200
	const conns = (descriptors - 32) / 2
	r := startWithNumberedMachines(t, descriptors, machines, func(t *testing.T) string {
		t.Helper()
		return fakeMachine(t, acceptLine("%s"))
	})
	client := r.dialClient()
	for i := range conns {
		client.send(offerLine(numberedRequest(i), ""))
		client.receive()
	}
	r.runOnLoop(func() { // all are connected when the loop continues
		r.dialClients(clients)
	})
	r.awaitClientConns(conns)
	r.runOnLoop(func() { // the burst of attempts
		r.ageMachineConns()
		for i := conns; i < machines; i++ {
			client.send(offerLine(numberedRequest(i), ""))
		}
	})
	last := scheduler.ContainerID(numberedRequest(machines - 1))
	await(r, func(e scheduler.RequestReceived) bool { return e.ID == last })
	r.runOnLoop(func() { r.expectWithinDescriptors(descriptors) })
}

// A maintenance tick that opens a connection may evict the last connection of a machine that is gone, and the machine
// with it. The tick then skips that machine.
func TestMachineEvictedDuringMaintenanceIsSkipped(t *testing.T) {
	a := machineJSON("a", serveTCP(t, (*peer).readToEnd), "ready", 0)
	z := machineJSON("z", serveTCP(t, (*peer).readToEnd), "ready", 0)
	discovery, publish := scriptedDiscovery(t)
	r := startServer(t, func(e scheduler.Event) []scheduler.Action {
		if _, adopted := e.(scheduler.ContainerAdopted); adopted {
			return []scheduler.Action{scheduler.Probe{Machine: "z"}} // it gets no answer
		}
		return nil
	}, configJSON(discovery, 256, snapshotJSON(1, a, z)))
	r.dialClient().send(offerLine(requestID, ";at:a"))
	await[scheduler.ContainerAdopted](r, nil)
	publish(deltaJSON(2, machineJSON("z", "", "gone", 0)))
	await(r, func(e scheduler.MachineListUpdate) bool { return e.Version == 2 })
	await[scheduler.ProbeCompleted](r, nil)
	r.runOnLoop(func() {
		s := r.server
		z := s.machines.lookup("z")
		if z == nil || len(z.conns.conns) != 1 {
			t.Errorf("machine z is %+v", z)
			return
		}
		z.conns.conns[0].lastUsedAt -= eventloop.Second
		s.machines.lookup("a").conns.needsReplacement = true
		others := connmanager.MaxMachineConns(s.env.config.MaxDescriptors) - s.machines.pool.openConns
		s.machines.pool.openConns += others
		s.maintain()
		s.machines.pool.openConns -= others
		testutil.Expect(t, s.machines.lookup("z") == nil, "machine z was not evicted")
	})
}
