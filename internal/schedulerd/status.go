package schedulerd

import (
	"runtime"
	"runtime/metrics"

	"glenport/internal/protocol"
)

// countedOutcomes are the outcomes of attempts in the order of the status.
var countedOutcomes = []string{
	protocol.OutcomeFull.String(),
	protocol.OutcomeErrored.String(),
	protocol.OutcomeStopped.String(),
	protocol.OutcomeLost.String(),
	statTimedOut,
	statLateAccept,
	statConnectFailed,
	statConnectionLost,
	statNotSent,
}

var latencyQuantiles = []struct {
	name     string
	quantile float64
}{
	{"placing p50", 50},
	{"placing p99", 99},
	{"placing p99.9", 99.9},
	{"placing worst", 100},
}

// Samples of runtime/metrics, none of which stops the program to be read.
const (
	liveHeapSample    = "/gc/heap/live:bytes"
	totalMemorySample = "/memory/classes/total:bytes"
)

const bytesPerMiB = 1 << 20

// statusReply returns the counters of `glenport status` and the metrics, under the names that operators know.
func (s *Server) statusReply() *protocol.StatusReply {
	list := statList{}
	list.add("up", s.loop.Elapsed().Seconds(), "s")
	s.addSizes(&list)
	s.addPlacements(&list)
	s.addLoad(&list)
	return &protocol.StatusReply{Name: s.config.Name, Stats: list}
}

func (s *Server) addSizes(list *statList) {
	list.addCount("machines known", len(s.machines))
	list.add("list version", float64(s.discovery.version), "")
	list.addCount("owners", len(s.clients))
	list.addCount("connections", s.loop.ConnCount())
	list.addCount("timers", s.loop.TimerCount())
	list.addCount("containers known", len(s.containers))
	list.addCount("containers running", s.stats.running)
	list.addCount("containers taken over", s.stats.adopted)
}

func (s *Server) addPlacements(list *statList) {
	list.addCount("submissions", s.stats.submitted)
	for v := protocol.VerdictPlaced; v <= protocol.VerdictNotAdmitted; v++ {
		list.addCount(v.String(), s.stats.verdicts[v])
	}
	list.addCount("answers nobody heard", s.stats.undelivered)
	list.addCount("bids", s.stats.attempts)
	for _, name := range countedOutcomes {
		list.addCount("bids "+name, s.stats.outcomes[name])
	}
	for _, q := range latencyQuantiles {
		list.add(q.name, float64(s.stats.placementLatency.ValueAtQuantile(q.quantile))/microsPerMilli, "ms")
	}
}

func (s *Server) addLoad(list *statList) {
	iterations, busy := s.loop.Iterations()
	list.addCount("turns", iterations)
	list.addCount("batches", s.stats.batches)
	list.addCount("events", s.stats.events)
	list.add("busy", busy.Seconds(), "s")
	list.add("deciding", s.stats.deciding.Seconds(), "s")
	list.add("slowest decision", s.stats.slowestDecision.Seconds()*1000, "ms")
	samples := []metrics.Sample{{Name: liveHeapSample}, {Name: totalMemorySample}}
	metrics.Read(samples)
	list.add("heap live", float64(samples[0].Value.Uint64())/bytesPerMiB, "MiB")
	list.add("memory", float64(samples[1].Value.Uint64())/bytesPerMiB, "MiB")
	list.addCount("goroutines", runtime.NumGoroutine())
}

type statList []protocol.Stat

func (l *statList) add(name string, value float64, unit string) {
	*l = append(*l, protocol.Stat{Name: name, Value: value, Unit: unit})
}

func (l *statList) addCount(name string, count int) { l.add(name, float64(count), "") }
