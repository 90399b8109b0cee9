package schedulerd

import (
	"runtime"
	"runtime/metrics"
	"time"

	"glenport/internal/machinelist"
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

// Samples of runtime/metrics that are read without stopping the world.
const (
	liveHeapSample    = "/gc/heap/live:bytes"
	totalMemorySample = "/memory/classes/total:bytes"
)

const bytesPerMiB = 1 << 20

// inspector answers status and explain requests of operators.
type inspector struct {
	*process
	decisions  *decisions
	clients    *clientRegistry
	machines   *machineRegistry
	containers *containerRegistry
	discovery  *machinelist.Client
}

// statusReply returns the counters that `glenport status` and the metrics show. The names of the counters must not
// change.
func (i *inspector) statusReply() *protocol.StatusReply {
	list := statList{}
	list.add("up", i.loop.Elapsed().Seconds(), "s")
	i.addSizes(&list)
	i.stats.addPlacements(&list)
	i.addLoad(&list)
	return &protocol.StatusReply{Name: i.config.Name, Stats: list}
}

func (i *inspector) addSizes(list *statList) {
	list.addCount("machines known", i.machines.count())
	list.add("list version", float64(i.discovery.LastVersion()), "")
	list.addCount("owners", i.clients.count())
	list.addCount("connections", i.loop.ConnCount())
	list.addCount("timers", i.loop.TimerCount())
	list.addCount("containers known", i.containers.count())
	i.stats.addContainers(list)
}

func (i *inspector) addLoad(list *statList) {
	iterations, busy := i.loop.Iterations()
	list.addCount("turns", iterations)
	i.stats.addDecisions(list, busy)
	samples := []metrics.Sample{{Name: liveHeapSample}, {Name: totalMemorySample}}
	metrics.Read(samples)
	list.add("heap live", float64(samples[0].Value.Uint64())/bytesPerMiB, "MiB")
	list.add("memory", float64(samples[1].Value.Uint64())/bytesPerMiB, "MiB")
	list.addCount("goroutines", runtime.NumGoroutine())
}

func (s *stats) addContainers(list *statList) {
	list.addCount("containers running", s.runningContainers)
	list.addCount("containers taken over", s.adoptions)
}

func (s *stats) addPlacements(list *statList) {
	list.addCount("submissions", s.submissions)
	for v := protocol.VerdictPlaced; v <= protocol.VerdictNotAdmitted; v++ {
		list.addCount(v.String(), s.verdicts[v])
	}
	list.addCount("answers nobody heard", s.undeliveredFrames)
	list.addCount("bids", s.attempts)
	for _, name := range countedOutcomes {
		list.addCount("bids "+name, s.outcomes[name])
	}
	for _, q := range latencyQuantiles {
		list.add(q.name, float64(s.placementLatency.ValueAtQuantile(q.quantile))/microsPerMilli, "ms")
	}
}

// addDecisions adds the calls of the scheduler, their duration, and the time for which the loop was busy.
func (s *stats) addDecisions(list *statList, busy time.Duration) {
	list.addCount("batches", s.batches)
	list.addCount("events", s.events)
	list.add("busy", busy.Seconds(), "s")
	list.add("deciding", s.decisionTime.Seconds(), "s")
	list.add("slowest decision", s.slowestDecision.Seconds()*1000, "ms")
}

type statList []protocol.Stat

func (l *statList) add(name string, value float64, unit string) {
	*l = append(*l, protocol.Stat{Name: name, Value: value, Unit: unit})
}

func (l *statList) addCount(name string, count int) { l.add(name, float64(count), "") }
