package platform

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"glenport/internal/platform/adoption"
	"glenport/internal/platform/jsonlines"
	"glenport/internal/testutil"
	"glenport/scheduler"
)

var claimCount = flag.Int("claims", 1000, "made-up claims of TestMadeUpClaimsAreBounded")

const claimedMachines = 20

// Claims that faulty clients make up take bounded memory and time, whatever machines they name. A running container
// that is claimed after them still has its end notified.
func TestMadeUpClaimsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		clients int
		machine func(claim int) string
	}{
		{"at one machine", 1, func(int) string { return "m0000" }},
		{"at all machines, of many clients", 50, func(claim int) string {
			return fmt.Sprintf("m%04x", claim%claimedMachines)
		}},
		{"at machines that do not exist", 1, func(claim int) string { return fmt.Sprintf("x%d", claim) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			end := make(chan bool)
			limit := min(adoption.MaxClaims(64), *claimCount/2)
			r := startWithClaimedMachines(t, end, limit)
			r.drainEvents()
			before := heapInUse()
			began := time.Now()
			var claiming sync.WaitGroup
			for i := range tc.clients {
				client := r.dialClient()
				claiming.Go(func() { client.claim(i, tc.clients, tc.machine) })
			}
			longest := r.longestIterationWhile(&claiming)
			took := time.Since(began)
			kept := 0
			r.runOnLoop(func() { kept = r.server.containers.count() })
			t.Logf("%d claims were handled within %v, the longest iteration took %v; %d are kept, with %d KiB",
				*claimCount, took, longest, kept, (int64(heapInUse())-int64(before))>>10)
			testutil.Expect(t, kept <= limit+claimedMachines, "%d claims are kept", kept)
			owner := r.dialClient()
			owner.send(offerLine(requestID, ";at:m0000"))
			owner.expectLive(2)
			close(end)
			ended := owner.receive()
			for ended != nil && ended.RequestID != requestID { // ends for disconnected clients
				ended = owner.receive()
			}
			testutil.Expect(t, isMessage(ended, jsonlines.OpEnd, requestID, jsonlines.CauseNormal),
				"received %+v", ended)
		})
	}
}

// startWithClaimedMachines starts a server with 20 machines and a limit of claims. Each machine reports the end of
// container requestID on its connections once end is closed.
func startWithClaimedMachines(t *testing.T, end chan bool, limit int) *testServer {
	t.Helper()
	r := startWithNumberedMachines(t, 256, claimedMachines, func(t *testing.T) string {
		t.Helper()
		return serveTCP(t, func(m *peer) {
			<-end
			m.send(endLine(requestID, jsonlines.CauseNormal))
			m.readToEnd()
		})
	})
	r.runOnLoop(func() {
		r.scheduler.script = nil // the scheduler that it wraps decides
		r.server.env.claims = adoption.New(limit)
	})
	return r
}

// drainEvents drops the events of the scheduler until the test ends.
func (r *testServer) drainEvents() {
	done := make(chan bool)
	r.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-r.scheduler.events:
			case <-done:
				return
			}
		}
	}()
}

// claim sends every claim whose number has a remainder modulo divisor, in batches.
func (p *peer) claim(remainder, divisor int, machine func(claim int) string) {
	testutil.ExpectNoError(p.t, p.c.SetDeadline(time.Now().Add(20*time.Minute)))
	for i, sent := remainder, 0; i < *claimCount; i += divisor {
		p.send(offerLine(fmt.Sprintf("%016x", 0xc1a1<<32+i), ";at:"+machine(i)))
		if sent++; sent%100 == 0 {
			p.awaitTested()
		}
	}
	p.awaitTested()
}

// awaitTested sends a liveness test and waits for its answer. Ends of claimed containers may come before it.
func (p *peer) awaitTested() {
	p.send(testLine(1))
	for msg := p.receive(); msg != nil && msg.Op != jsonlines.OpTested; msg = p.receive() {
	}
}

// longestIterationWhile returns the longest time that the loop was busy until all work is done.
func (r *testServer) longestIterationWhile(working *sync.WaitGroup) time.Duration {
	done := make(chan bool)
	go func() {
		working.Wait()
		close(done)
	}()
	for longest := time.Duration(0); ; {
		select {
		case <-done:
			return longest
		default:
			start := time.Now()
			r.runOnLoop(func() {})
			longest = max(longest, time.Since(start))
		}
	}
}

// heapInUse returns the number of live bytes on the heap.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The end of a container is notified although its claim was not adopted, because more containers are claimed than the
// machine can run. This also holds if the end was reported before the claim.
func TestEndOfUnadoptedClaimIsNotified(t *testing.T) {
	t.Run("claimed first", func(t *testing.T) {
		r, report := startWithClaimsAtA(t)
		r.client.send(offerLine(requestID, ";at:a"))
		r.client.expectLive(1)
		report()
		r.client.expectEnd(requestID, jsonlines.CauseNormal)
		r.client.expectEnd(otherRequestID, jsonlines.CauseNormal)
	})
	t.Run("reported first", func(t *testing.T) {
		r, report := startWithClaimsAtA(t)
		report()
		r.client.expectEnd(otherRequestID, jsonlines.CauseNormal)
		r.client.send(offerLine(thirdRequestID, ";at:a"), offerLine(requestID, ";at:a")) // the first uses the capacity
		r.client.expectEnd(requestID, jsonlines.CauseNormal)
	})
}

// serverWithClaims is a server with a client that has claimed as many containers as can run at machine a.
type serverWithClaims struct {
	*testServer
	client *peer
}

// startWithClaimsAtA starts a server with claims at machine a. When report is called, the machine reports the ends of
// requestID, which nobody has claimed, and of otherRequestID.
func startWithClaimsAtA(t *testing.T) (r serverWithClaims, report func()) {
	t.Helper()
	reported := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		if <-reported {
			m.send(endLine(requestID, jsonlines.CauseNormal), endLine(otherRequestID, jsonlines.CauseNormal))
			m.readToEnd()
		}
	})
	t.Cleanup(func() { close(reported) })
	r.testServer = startWithMachineA(t, addr, attemptOnA(0))
	r.client = r.dialClient()
	r.client.send(offerLine(otherRequestID, ";at:a"))
	for i := range 200 {
		r.client.send(offerLine(numberedRequest(1000+i), ";at:a"))
	}
	r.client.expectLive(0)
	r.runOnLoop(func() {
		running := r.server.machines.lookup("a").runningLoad
		testutil.Equal(t, running, adoption.Load{Cores: 91, Memory: 182, Containers: 91}, "running")
	})
	return r, func() { reported <- true }
}

// A claim that comes after a restart of its machine is adopted, because the container may have been accepted since. A
// container that was claimed before the restart is lost.
func TestClaimAtRestartedMachineIsAdopted(t *testing.T) {
	discovery, publish := scriptedDiscovery(t)
	ending := make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		<-ending
		m.send(endLine(otherRequestID, jsonlines.CauseNormal))
		m.readToEnd()
	})
	end := sync.OnceFunc(func() { close(ending) })
	defer end()
	r := startWithDiscovery(t, discovery, machineJSON("a", addr, "ready", 0))
	client := r.dialClient()
	client.send(offerLine(requestID, ";at:a"))
	client.expectLive(1)
	publish(deltaJSON(2, machineJSON("a", addr, "ready", time.Now().UnixMilli()+1)))
	client.expectFailed(requestID)
	client.send(endedLine(requestID), offerLine(otherRequestID, ";at:a"))
	client.expectLive(2)
	end()
	client.expectEnd(otherRequestID, jsonlines.CauseNormal)
}

// A claim to a container whose request is open closes the request if it comes from the same client, and nothing is
// cancelled at the machine where the container is running. A claim of another client waits until the request is closed.
func TestClaimOfOpenRequest(t *testing.T) {
	t.Run("at the machine that was offered it", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.client.send(offerLine(requestID, ";at:a"))
		r.expectAdopted("a")
		r.machineA.send(acceptLine(requestID), endLine(requestID, jsonlines.CauseNormal)) // the accept was late
		r.client.expectEnd(requestID, jsonlines.CauseNormal)
		r.client.send(offerLine(otherRequestID, ""))
		r.machineA.expect(jsonlines.OpOffer, otherRequestID) // no other message before it
	})
	t.Run("at another machine", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.client.send(offerLine(requestID, ";at:b"))
		r.machineA.expectEnd(requestID, jsonlines.CauseNormal)
		r.expectAdopted("b")
		r.client.expectLive(1)
	})
	t.Run("by a client whose connection is ending", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.claimOnAnotherConn("b")
		r.client.close()
		r.machineA.expectEnd(requestID, jsonlines.CauseNormal)
		r.expectAdopted("b")
	})
	t.Run("by another client", func(t *testing.T) {
		r := startWithOfferAtA(t)
		r.claimOnAnotherConn("b")
		r.machineA.send(acceptLine(requestID))
		r.client.expect(jsonlines.OpAccept, requestID)
		r.runOnLoop(func() {
			testutil.Equal(t, r.server.containers.lookup(requestID).attempt.machine.id, "a", "running at")
		})
	})
}

// serverWithOffer is a server with an open request that was offered to machine a.
type serverWithOffer struct {
	*testServer
	client, machineA *peer
}

func startWithOfferAtA(t *testing.T) serverWithOffer {
	t.Helper()
	offered, done := make(chan *peer, 10), make(chan bool)
	addr := serveTCP(t, func(m *peer) {
		if m.receive() != nil {
			offered <- m
			<-done
		}
	})
	t.Cleanup(func() { close(done) })
	b := machineJSON("b", serveTCP(t, (*peer).readToEnd), "ready", 0)
	r := startWithDiscovery(t, silentDiscovery(t), machineJSON("a", addr, "ready", 0), b)
	client := r.dialClient()
	client.send(offerLineWithin(requestID, "60000"))
	return serverWithOffer{r, client, testutil.Receive(t, offered)}
}

func (r serverWithOffer) claimOnAnotherConn(at string) {
	other := r.dialClient()
	other.send(offerLine(requestID, ";at:"+at))
	other.expectLive(1)
}

func (r serverWithOffer) expectAdopted(at scheduler.MachineID) {
	r.Helper()
	e := await[scheduler.ContainerAdopted](r.testServer, nil)
	testutil.Expect(r, e.ID == requestID && e.Machine == at, "adopted %+v", e)
}
