package golden

import "math/rand/v2"

// Choice is an event that a seeded random sequence may draw, with its weight.
type Choice[E any] struct {
	weight int
	event  func() E
}

// NewChoice returns a choice that is drawn with a probability in proportion to its weight. The function event creates
// the event.
func NewChoice[E any](weight int, event func() E) Choice[E] { return Choice[E]{weight, event} }

// Draw draws one of the choices at random and returns its event. At least one weight must be positive.
func Draw[E any](random *rand.Rand, choices ...Choice[E]) E {
	total := 0
	for _, c := range choices {
		total += c.weight
	}
	n := random.IntN(total)
	for _, c := range choices {
		if n -= c.weight; n < 0 {
			return c.event()
		}
	}
	panic("golden: no choice has a weight")
}

// DrawWait draws how long a sequence waits before its next events. Most waits are short; a few are long enough for
// every deadline to pass.
func DrawWait[T ~int64](random *rand.Rand, second T) T {
	switch n := random.IntN(100); {
	case n < 40:
		return 0
	case n < 70:
		return T(random.IntN(int(second / 10)))
	case n < 98:
		return T(random.IntN(int(second)))
	default:
		return T(random.IntN(int(12 * second)))
	}
}
