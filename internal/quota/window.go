package quota

import "time"

// slots divide a window: a count is too high by at most the requests of one slot.
const slots = 50

// window counts what happened in the last length of time, in slots.
type window struct {
	counts [slots + 1]int32
	newest int64 // number of the newest slot since the epoch
	total  int
}

func slotAt(now time.Time, length time.Duration) int64 {
	return now.UnixNano() / int64(length/slots)
}

// advance drops what has left the window.
func (w *window) advance(slot int64) {
	if slot-w.newest > slots {
		*w = window{newest: slot}
		return
	}
	for w.newest < slot {
		w.newest++
		place := w.newest % (slots + 1)
		w.total -= int(w.counts[place])
		w.counts[place] = 0
	}
}

// add counts in a slot, unless that has left the window.
func (w *window) add(slot int64, count int) {
	if w.newest-slot > slots {
		return
	}
	w.counts[slot%(slots+1)] += int32(count) //nolint:gosec // far below the bounds
	w.total += count
}
