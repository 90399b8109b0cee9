package overload

// Snapshot is what a limiter has learned, stored for the next incarnation of the scheduler.
type Snapshot struct {
	Limit      float64 `cbor:"Limit" json:"Limit"`
	Throughput float64 `cbor:"Pace"  json:"Pace"` // containers started per second
	// By workload class, as parts of the latency objective; below 0 where no start was seen.
	Latency         []float64 `cbor:"Slow" json:"Slow"`
	BaselineLatency []float64 `cbor:"Calm" json:"Calm"`
}

// Snapshot returns what the limiter has learned.
func (l *Limiter) Snapshot() Snapshot {
	s := Snapshot{Limit: l.limit, Throughput: l.throughput}
	for _, mean := range l.latency {
		if !mean.seen {
			mean.recent, mean.baseline = unknownLatency, unknownLatency
		}
		s.Latency = append(s.Latency, mean.recent)
		s.BaselineLatency = append(s.BaselineLatency, mean.baseline)
	}
	return s
}

// Restore applies a snapshot before the first event: a limiter that starts wide open during an overload would admit
// all that was shed before. The limit counts for weight, from 1 (all) to 0 (nothing); baselines are taken as they were.
// A snapshot of other workload classes is ignored.
func (l *Limiter) Restore(s Snapshot, weight float64) {
	if len(s.BaselineLatency) != len(l.latency) || len(s.Latency) != len(l.latency) {
		return
	}
	for i, baseline := range s.BaselineLatency {
		if baseline >= 0 {
			l.latency[i] = latencyMean{
				recent:   baseline + weight*(s.Latency[i]-baseline),
				baseline: baseline,
				seen:     true,
			}
		}
	}
	if weight > 0 && s.Limit > 0 {
		l.limit = min(float64(l.config.MaxOpen), max(minLimit, s.Limit/weight))
		l.throughput = s.Throughput * weight
	}
}
