package announce

import (
	"math"

	"glenport/scheduler"
)

// Parameters of flap damping, as RFC 7196, section 4, recommends, with its high suppress threshold.
const (
	withdrawalPenalty = 1000.0
	suppressThreshold = 6000.0
	reuseThreshold    = 750.0
	penaltyHalfLife   = 15 * 60 * scheduler.Second
	maxPenalty        = 12000.0 // suppression ends within four half-lives (one hour) of the last withdrawal
	negligiblePenalty = 50.0    // treated as zero
)

// damping suppresses a route that is withdrawn repeatedly (RFC 2439). The penalty grows with each withdrawal and decays
// exponentially.
type damping struct {
	penalty    float64 // as of decayedAt
	decayedAt  scheduler.Time
	suppressed bool
}

func (d *damping) decay(now scheduler.Time) {
	if d.penalty > 0 {
		d.penalty *= math.Exp2(-float64(now-d.decayedAt) / float64(penaltyHalfLife))
		if d.penalty < negligiblePenalty {
			d.penalty = 0
		}
	}
	d.decayedAt = now
}

// addWithdrawal adds the penalty of a withdrawal and reports whether suppression begins with it.
func (d *damping) addWithdrawal() (begins bool) {
	d.penalty = min(maxPenalty, d.penalty+withdrawalPenalty)
	if d.suppressed || d.penalty < suppressThreshold {
		return false
	}
	d.suppressed = true
	return true
}

// endSuppression ends the suppression if the penalty is below reuseThreshold, and reports whether it did.
func (d *damping) endSuppression() (ended bool) {
	if !d.suppressed || d.penalty >= reuseThreshold {
		return false
	}
	d.suppressed = false
	return true
}

// untilReuse returns how long the penalty takes to decay below reuseThreshold.
func (d *damping) untilReuse() scheduler.Time {
	halfLives := math.Log2(d.penalty / reuseThreshold)
	return scheduler.Time(halfLives*float64(penaltyHalfLife)) + 1
}

// untilNegligible returns how long the penalty takes to become negligible, but at least one half-life.
func (d *damping) untilNegligible() scheduler.Time {
	halfLives := math.Log2(max(2, d.penalty/negligiblePenalty))
	return scheduler.Time(halfLives*float64(penaltyHalfLife)) + 1
}
