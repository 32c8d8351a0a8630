package credit

import "time"

// slots is the number of slots of a sliding window. One more than the window has keeps an
// amount until the whole slot has left it.
const slots = 41

// window adds up amounts over a sliding window in slots of equal length.
type window struct {
	// step is the number of the newest slot.
	step    int64
	amounts [slots]float64
	sum     float64
}

// slotTime returns the length of a slot.
func slotTime(length time.Duration) time.Duration { return max(length/(slots-1), time.Millisecond) }

// advance drops the slots that have left the window at a step.
func (w *window) advance(step int64) {
	if step-w.step >= slots {
		*w = window{step: step}
		return
	}
	for w.step < step {
		w.step++
		w.sum -= w.amounts[w.step%slots]
		w.amounts[w.step%slots] = 0
	}
}

// add adds an amount to the slot of a step; nothing if that has left the window.
func (w *window) add(step int64, amount float64) {
	if step > w.step || w.step-step >= slots {
		return
	}
	w.amounts[step%slots] += amount
	w.sum += amount
}

// last returns the sum of the newest slots.
func (w *window) last(count int64) float64 {
	sum := 0.0
	for i := range min(count, slots, w.step+1) {
		sum += w.amounts[(w.step-i)%slots]
	}
	return sum
}
