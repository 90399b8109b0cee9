package scheduler

import "math"

// virtualBuckets is the number of virtual buckets of a service. With few buckets its program stays warm on few
// machines; many buckets spread the load better.
const virtualBuckets = 3

// concentrationExponent is applied to the scaled share of late starts, so that a service's draws concentrate little if
// few starts are late.
const concentrationExponent = 4

// suspicionLevel ranks machines: a container is placed on one of the machines with the lowest level. Suspected machines
// are thus a fallback: if all machines are suspected, the cause is probably this scheduler's own connection or machine
// list.
type suspicionLevel uint8

const (
	notSuspected suspicionLevel = iota
	suspectedOfClass
	ejected
	noCandidate // above the level of every machine
)

// maxCapDraw picks machines at random with odds proportional to their honored capacity (Max-Cap, docs/design.md). The
// filters precede the draw. The weights depend neither on free room nor on earlier placements.
type maxCapDraw struct {
	random      *pcg
	capacities  capacityModel
	eligibility *eligibility
	classes     *classFailureDetector
	slowStart   *slowStartLimiter
	latency     *startLatencyTracker
	shedder     *loadShedder
}

// candidate is the best machine so far: the one with the least variate among the machines of the lowest suspicion
// level.
type candidate struct {
	machine *machine
	level   suspicionLevel
	variate float64
}

// isWorseThan reports whether a machine with the given level and variate replaces the candidate. The level must not be
// above the candidate's.
func (b candidate) isWorseThan(level suspicionLevel, v variate) bool {
	if level == b.level && v.exceeds(b.variate) {
		return false
	}
	return level < b.level || v.value() < b.variate
}

// draw returns a machine for the container, or nil if no machine is eligible. The generator picks one of the service's
// virtual buckets. Each bucket belongs to one machine, by a hash of service, bucket and machine, with odds proportional
// to the machine's weight. The containers of a service thus run on the same few machines for all schedulers, and the
// weights do not depend on placements.
//
// Machines in slow start are always checked, because the check drops the sends before the window from their ledgers.
func (d *maxCapDraw) draw(c *container, machines []*machine, now Time) *machine {
	bucket := d.bucket(c, now)
	classes := d.classes.classesOf(c)
	best := candidate{level: noCandidate, variate: math.Inf(1)}
	for _, m := range machines {
		onlyVariateMatters := best.level == notSuspected && !d.slowStart.inSlowStart(m, now)
		if onlyVariateMatters && d.variate(c, m, bucket, now).exceeds(best.variate) {
			continue // the machine cannot replace the best one, even if it is eligible and not suspected
		}
		level := suspicionLevelOf(m, classes, d.classes, now)
		if level > best.level || !d.eligibility.allows(c, m, now) {
			continue
		}
		if v := d.variate(c, m, bucket, now); best.isWorseThan(level, v) {
			best = candidate{machine: m, level: level, variate: v.value()}
		}
	}
	return best.machine
}

// bucket picks one of the service's virtual buckets.
func (d *maxCapDraw) bucket(c *container, now Time) uint64 {
	word := d.random.next()
	if unitInterval(word) < d.firstBucketShare(c, now) {
		return c.service.hash
	}
	return c.service.hash + word%virtualBuckets
}

// firstBucketShare returns the share of draws that always take the first bucket. It grows with the share of late starts
// in the container's class, because most late starts happen on machines without the service's program. It reaches 1 if
// at least one start in virtualBuckets is late. It is small if fewer starts are late, because a single bucket fills the
// machines less evenly. For the same reason it falls as more attempts find their machine full, and is 0 while load is
// shed.
func (d *maxCapDraw) firstBucketShare(c *container, now Time) float64 {
	late := min(1, virtualBuckets*d.latency.lateRatio(c))
	return math.Pow(late, concentrationExponent) * max(0, 1-d.shedder.currentFullRatio(now)/sheddingThreshold)
}

// variate is an exponentially distributed number that is derived from a hash. Its rate is the machine's weight. The
// machine with the least variate is drawn, so the odds of each machine are proportional to its weight.
type variate struct{ uniform, rate float64 }

// roundingMargin is much larger than the rounding errors of a variate's value, and too small to affect the speed-up.
const roundingMargin = 1e-9

func (v variate) value() float64 { return -math.Log(1-v.uniform) / v.rate }

// exceeds reports whether the value is certainly above a bound. It avoids the logarithm: -log(1-u) is at least u, and
// 1-u is exact for the numbers that the generator returns. It may return false for values above the bound.
func (v variate) exceeds(bound float64) bool {
	return v.uniform*(1-roundingMargin) > bound*v.rate
}

func (d *maxCapDraw) variate(c *container, m *machine, bucket uint64, now Time) variate {
	rate := d.capacities.honored(m)
	if share := d.slowStart.schedulerShare(m, now); share < 1 {
		bucket = c.service.hash // a single bucket, so that the machine starts few services and their programs stay warm
		rate /= share
	}
	generator := pcg{mix(bucket) ^ m.hash}
	return variate{uniform: generator.uniform(), rate: rate}
}

func suspicionLevelOf(m *machine, classes trafficClassPair, detector *classFailureDetector, now Time) suspicionLevel {
	switch {
	case m.outlier.isEjected():
		return ejected
	case detector.suspects(m, classes, now):
		return suspectedOfClass
	}
	return notSuspected
}
