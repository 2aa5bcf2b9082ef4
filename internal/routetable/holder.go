package routetable

import (
	"sync/atomic"
	"time"
)

// View is a table together with the time as of which the store confirmed that it is the newest one. A
// request is decided by one View.
type View struct {
	Table       *Table    // nil before the first
	confirmedAt time.Time // zero: not confirmed yet
}

// Age returns the time since the table was confirmed, and whether it was. Steps of the time of day do
// not change the age.
//
// Guarantee: a table that has replaced this one was written at most the age ago.
func (v View) Age() (age time.Duration, confirmed bool) {
	if v.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(v.confirmedAt), true
}

// Holder holds the newest table. It is safe for concurrent use and lock-free.
type Holder struct {
	current atomic.Pointer[View]
}

// View returns the newest table and its confirmation.
func (h *Holder) View() View {
	if view := h.current.Load(); view != nil {
		return *view
	}
	return View{}
}

// Current returns the newest table, or nil before the first.
func (h *Holder) Current() *Table { return h.View().Table }

// Replace stores the table if its revision is larger than the current one's, and
// reports whether it did. Routes whose host, prefix and parts have not changed
// continue their weighted split. The confirmation of the current table holds for the
// table too, since it is newer.
func (h *Holder) Replace(table *Table) bool {
	return h.update(func(view *View) bool {
		if view.Table != nil && view.Table.Revision >= table.Revision {
			return false
		}
		if view.Table != nil {
			table.inheritBalancers(view.Table)
		}
		view.Table = table
		return true
	})
}

// Confirm records that the current table was the newest one in the store at the given time. An
// earlier time than that of the last confirmation has no effect, and neither has a confirmation
// before the first table.
func (h *Holder) Confirm(at time.Time) {
	h.update(func(view *View) bool {
		if view.Table == nil || !at.After(view.confirmedAt) {
			return false
		}
		view.confirmedAt = at
		return true
	})
}

// update replaces the view by a copy that change has changed. It does nothing, and returns false, if
// change returns false.
func (h *Holder) update(change func(view *View) bool) bool {
	for {
		current := h.current.Load()
		var next View
		if current != nil {
			next = *current
		}
		if !change(&next) {
			return false
		}
		if h.current.CompareAndSwap(current, &next) {
			return true
		}
	}
}
