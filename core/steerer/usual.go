package steerer

import "time"

const (
	// usualStep is how far each time moves what is taken for usual, as a part of it,
	// once many have come; the first ones move it further. It comes to rest at the
	// median. A crowd of a second or two, with a hundred late answers, must not make
	// the ordinary ones after it look quick.
	usualStep = 0.003
	// shortestUsual keeps the estimate from zero, from which no step leads away.
	shortestUsual = 100 * time.Microsecond
)

// usualTime estimates the median of times that come one after another: until a
// route's answers, or until flows open.
type usualTime struct {
	median  time.Duration
	samples int
}

// add takes in a time.
func (u *usualTime) add(took time.Duration) {
	u.samples++
	step := 1 + max(usualStep, 1/float64(u.samples))
	switch {
	case u.samples == 1:
		u.median = max(took, shortestUsual)
	case took > u.median:
		u.median = time.Duration(float64(u.median) * step)
	default:
		u.median = time.Duration(float64(u.median) / step)
	}
}
