package placer

import "time"

// windowSlots is the number of slots in a window. A repeat counts until its
// slot has left the window.
const windowSlots = 20

// window counts the first attempts and the repeats of one service in a
// sliding window. No span of the window's length holds more repeats than were
// allowed at its end.
type window struct {
	length time.Duration
	start  time.Time
	// currentSlot is the number of the slot that is being filled.
	currentSlot int64
	firsts      [windowSlots + 1]float64
	repeats     [windowSlots + 1]float64
	firstTotal  float64
	repeatTotal float64
}

func newWindow(now time.Time, length time.Duration) *window {
	return &window{length: length, start: now}
}

// advance moves to the current slot and clears the slots that have left the
// window.
func (w *window) advance(now time.Time) {
	if w.length <= 0 {
		return
	}
	slot := int64(now.Sub(w.start) / (w.length / windowSlots))
	for ; w.currentSlot < slot; w.currentSlot++ {
		if slot-w.currentSlot > windowSlots+1 {
			w.currentSlot = slot - windowSlots - 1
		}
		next := (w.currentSlot + 1) % (windowSlots + 1)
		w.firstTotal -= w.firsts[next]
		w.repeatTotal -= w.repeats[next]
		w.firsts[next], w.repeats[next] = 0, 0
	}
}

func (w *window) addFirst() {
	w.firsts[w.currentSlot%(windowSlots+1)]++
	w.firstTotal++
}

func (w *window) addRepeats(n float64) {
	w.repeats[w.currentSlot%(windowSlots+1)] += n
	w.repeatTotal += n
}

// firstCount returns the number of first attempts in the window. The oldest
// slot is only partly in the window and is not counted.
func (w *window) firstCount() float64 {
	return w.firstTotal - w.firsts[(w.currentSlot+1)%(windowSlots+1)]
}
