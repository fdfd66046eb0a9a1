package placer

import "time"

// slots is the number of parts of a window. A repeat counts until the slot that
// it fell into is out of the window.
const slots = 20

// window counts the first sub-requests and the repeats of one service within the
// last length of time. Every span of that length holds no more repeats than were
// allowed at its end.
type window struct {
	length time.Duration
	began  time.Time
	// current is the number of the slot that is being filled.
	current  int64
	firsts   [slots + 1]float64
	repeats  [slots + 1]float64
	allFirst float64
	allAgain float64
}

func newWindow(now time.Time, length time.Duration) *window {
	return &window{length: length, began: now}
}

// advance empties the slots that are out of the window.
func (w *window) advance(now time.Time) {
	if w.length <= 0 {
		return
	}
	slot := int64(now.Sub(w.began) / (w.length / slots))
	for ; w.current < slot; w.current++ {
		if slot-w.current > slots+1 {
			w.current = slot - slots - 1
		}
		next := (w.current + 1) % (slots + 1)
		w.allFirst -= w.firsts[next]
		w.allAgain -= w.repeats[next]
		w.firsts[next], w.repeats[next] = 0, 0
	}
}

func (w *window) first() {
	w.firsts[w.current%(slots+1)]++
	w.allFirst++
}

func (w *window) repeat(n float64) {
	w.repeats[w.current%(slots+1)] += n
	w.allAgain += n
}

// asked returns the first sub-requests of the window. The oldest slot is only
// partly in it and does not count.
func (w *window) asked() float64 { return w.allFirst - w.firsts[(w.current+1)%(slots+1)] }
