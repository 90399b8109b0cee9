package overload

// Snapshot is the learned state of a limiter, stored for the next incarnation of the scheduler.
type Snapshot struct {
	Limit      float64 `cbor:"Limit" json:"Limit"`
	Throughput float64 `cbor:"Pace"  json:"Pace"` // containers started per second
	// Mean start latencies by workload class, as fractions of the latency objective; negative if no start was observed.
	Latency         []float64 `cbor:"Slow" json:"Slow"`
	BaselineLatency []float64 `cbor:"Calm" json:"Calm"`
}

// Snapshot returns the learned state of the limiter.
func (l *Limiter) Snapshot() Snapshot {
	s := Snapshot{Limit: l.limit, Throughput: l.throughput}
	for _, mean := range l.latency {
		if !mean.observed {
			mean.recent, mean.baseline = unknownLatency, unknownLatency
		}
		s.Latency = append(s.Latency, mean.recent)
		s.BaselineLatency = append(s.BaselineLatency, mean.baseline)
	}
	return s
}

// Restore applies a snapshot before the first event: a limiter that started with its highest limit during an overload
// would admit all requests that were shed before. Weight scales the effect of the limit, the throughput and the recent
// latencies, from 1 (full) to 0 (none); baselines are restored unchanged. A snapshot of other workload classes is
// ignored.
func (l *Limiter) Restore(s Snapshot, weight float64) {
	if len(s.BaselineLatency) != len(l.latency) || len(s.Latency) != len(l.latency) {
		return
	}
	for i, baseline := range s.BaselineLatency {
		if baseline >= 0 {
			l.latency[i] = latencyMean{
				recent:   baseline + weight*(s.Latency[i]-baseline),
				baseline: baseline,
				observed: true,
			}
		}
	}
	if weight > 0 && s.Limit > 0 {
		l.limit = min(float64(l.config.MaxOpen), max(minLimit, s.Limit/weight))
		l.throughput = s.Throughput * weight
	}
}
