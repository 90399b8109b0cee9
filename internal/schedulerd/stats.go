package schedulerd

import (
	"runtime"
	"runtime/metrics"
	"time"

	"glenport/internal/protocol"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stats counts what a host does. Its tables are as long as there are sorts of outcomes.
type stats struct {
	submitted        int
	running          int
	adopted          int
	undelivered      int // answers to owners that were gone
	attempts         int
	answers          [5]int // by verdict
	outcomes         map[string]int
	batches          int
	events           int
	actions          int
	handling         time.Duration
	firstAttempts    []time.Duration // when the containers came whose first bid goes out this turn
	placementLatency *hdrhistogram.Histogram
	slowest          time.Duration // one call of Handle
}

func (m *stats) init() {
	m.outcomes = map[string]int{}
	m.placementLatency = hdrhistogram.New(1, 60_000_000, 3) // microseconds, to a minute
}

func (m *stats) countOutcome(name string) { m.outcomes[name]++ }

func (m *stats) countAnswer(v protocol.Verdict) { m.answers[v]++ }

func (m *stats) countAttempt(c *container) {
	m.attempts++
	if c.attempts == 1 {
		m.firstAttempts = append(m.firstAttempts, c.submittedAt)
	}
}

// flushed notes how long first bids took from their submission to the socket.
func (m *stats) flushed(now time.Duration) {
	for _, came := range m.firstAttempts {
		m.placementLatency.RecordValue(max(1, (now - came).Microseconds()))
	}
	m.firstAttempts = m.firstAttempts[:0]
}

func (m *stats) countBatch(took time.Duration, events, actions int) {
	m.batches++
	m.events += events
	m.actions += actions
	m.handling += took
	m.slowest = max(m.slowest, took)
}

func (h *Server) status() *protocol.StatusReply {
	s := &protocol.StatusReply{Name: h.config.Name}
	put := func(name string, v float64, unit string) {
		s.Stats = append(s.Stats, protocol.Stat{Name: name, Value: v, Unit: unit})
	}
	m := &h.stats
	turns, busy := h.loop.Iterations()
	put("up", h.loop.Elapsed().Seconds(), "s")
	put("machines known", float64(len(h.machines)), "")
	put("list version", float64(h.discovery.version), "")
	put("owners", float64(len(h.clients)), "")
	put("connections", float64(h.loop.ConnCount()), "")
	put("timers", float64(h.loop.TimerCount()), "")
	put("containers known", float64(len(h.containers)), "")
	put("containers running", float64(m.running), "")
	put("containers taken over", float64(m.adopted), "")
	put("submissions", float64(m.submitted), "")
	for v := protocol.VerdictPlaced; v <= protocol.VerdictNotAdmitted; v++ {
		put(v.String(), float64(m.answers[v]), "")
	}
	put("answers nobody heard", float64(m.undelivered), "")
	put("bids", float64(m.attempts), "")
	for _, name := range []string{"full", "erred", "stopped", "lost", "timed out", "late yes", "no connection", "reset", "not sent"} {
		put("bids "+name, float64(m.outcomes[name]), "")
	}
	for _, q := range []float64{50, 99, 99.9, 100} {
		put(map[float64]string{50: "placing p50", 99: "placing p99", 99.9: "placing p99.9", 100: "placing worst"}[q],
			float64(m.placementLatency.ValueAtQuantile(q))/1000, "ms")
	}
	put("turns", float64(turns), "")
	put("batches", float64(m.batches), "")
	put("events", float64(m.events), "")
	put("busy", busy.Seconds(), "s")
	put("deciding", m.handling.Seconds(), "s")
	put("slowest decision", m.slowest.Seconds()*1000, "ms")
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/total:bytes"}} // asks nothing to stop
	metrics.Read(live)
	put("heap live", float64(live[0].Value.Uint64())/(1<<20), "MiB")
	put("memory", float64(live[1].Value.Uint64())/(1<<20), "MiB")
	put("goroutines", float64(runtime.NumGoroutine()), "")
	return s
}
