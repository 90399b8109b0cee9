package scheduler

import "math"

// virtualBuckets is how many draws the containers of a service share. Few keep programs warm on few machines, many
// spread the load.
const virtualBuckets = 3

// concentrationExponent makes the concentration of a service's draws small where few starts are late.
const concentrationExponent = 4

// suspicionLevel ranks machines: a container is placed among those with the lowest level there is. So suspected ones
// are the fallback: with all of them suspected, the fault is likely this scheduler's own connection or list.
type suspicionLevel uint8

const (
	notSuspected suspicionLevel = iota
	suspectedOfClass
	ejected
	noCandidate // above the level of every machine
)

// maxCapDraw picks machines at random with odds in proportion to their honored capacity (Max-Cap, docs/design.md). The
// filters come before the draw; neither room nor placement enters the weights.
type maxCapDraw struct {
	random      *pcg
	capacities  capacityModel
	eligibility *eligibility
	classes     *classFailureDetector
	slowStart   *slowStartLimiter
	latency     *startLatencyTracker
	shedder     *loadShedder
}

// candidate is the best machine so far: of the lowest suspicion level, the one with the least variate.
type candidate struct {
	machine *machine
	level   suspicionLevel
	variate float64
}

// isWorseThan reports whether a machine of a level, which is not above the candidate's, takes its place.
func (b candidate) isWorseThan(level suspicionLevel, v variate) bool {
	if level == b.level && v.exceeds(b.variate) {
		return false
	}
	return level < b.level || v.value() < b.variate
}

// draw returns nil where no machine is eligible. It is indexed: the generator picks one of the service's virtual
// buckets, and each bucket, hashed with service and machine, is given to one with odds proportional to its weight. So
// the containers of a service meet again on few machines, the same for all schedulers, and no weight follows
// placement.
//
// Machines in slow start are always checked, as the check drops from their ledgers what was sent before the window.
func (d *maxCapDraw) draw(c *container, machines []*machine, now Time) *machine {
	bucket := d.bucket(c, now)
	classes := d.classes.classesOf(c)
	best := candidate{level: noCandidate, variate: math.Inf(1)}
	for _, m := range machines {
		boundDecides := best.level == notSuspected && !d.slowStart.inSlowStart(m, now)
		if boundDecides && d.variate(c, m, bucket, now).exceeds(best.variate) {
			continue // whether the machine is suspected or eligible makes no difference
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

// firstBucketShare is the share of draws that take the first bucket without a choice. It grows with the share of late
// starts in the container's class, as most of these lack the service's program, and reaches all of them where one start
// in each virtualBuckets is late. Where fewer are late it is small, as few buckets fill machines less evenly; for the
// same reason it shrinks as attempts find no room, to nothing where load is shed.
func (d *maxCapDraw) firstBucketShare(c *container, now Time) float64 {
	late := min(1, virtualBuckets*d.latency.lateRatio(c))
	return math.Pow(late, concentrationExponent) * max(0, 1-d.shedder.currentFullRatio(now)/sheddingThreshold)
}

// variate is an exponential random number that a hash gives to a machine, with the machine's weight as its rate: the
// least of several belongs to each machine with odds proportional to its weight.
type variate struct{ uniform, rate float64 }

// roundingMargin is far above the rounding errors of a variate's value, and far below any difference that matters.
const roundingMargin = 1e-9

func (v variate) value() float64 { return -math.Log(1-v.uniform) / v.rate }

// exceeds reports whether the value is surely above a bound, without the logarithm: -log(1-u) is at least u, and 1-u is
// exact for the numbers that the generator gives. It may be false for values above the bound.
func (v variate) exceeds(bound float64) bool {
	return v.uniform*(1-roundingMargin) > bound*v.rate
}

func (d *maxCapDraw) variate(c *container, m *machine, bucket uint64, now Time) variate {
	rate := d.capacities.honored(m)
	if share := d.slowStart.schedulerShare(m, now); share < 1 {
		bucket = c.service.hash // a single bucket: few services, which stay warm
		rate /= share
	}
	generator := pcg{mix(bucket) ^ m.hash}
	return variate{uniform: generator.uniform(), rate: rate}
}

func suspicionLevelOf(m *machine, of trafficClassPair, detector *classFailureDetector, now Time) suspicionLevel {
	switch {
	case m.outlier.isEjected():
		return ejected
	case detector.suspects(m, of, now):
		return suspectedOfClass
	}
	return notSuspected
}
