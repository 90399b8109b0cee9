package golden

import "math/rand/v2"

// Choice is one of several events that a seeded sequence may draw.
type Choice[E any] struct {
	weight int
	event  func() E
}

// Choose returns a choice that is drawn as often as its weight says; event makes it.
func Choose[E any](weight int, event func() E) Choice[E] { return Choice[E]{weight, event} }

// Draw draws one of the choices and makes its event.
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

// DrawWait draws for how long a sequence waits before its next events: mostly little, now and then so long that every
// deadline is over.
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
