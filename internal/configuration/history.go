package configuration

import "time"

// record is one accepted change, with the differences that apply and revert it.
type record struct {
	Number     uint64
	Identifier string
	Operator   string
	Comment    string
	At         time.Time
	Forward    Difference // from the previous revision to this one
	Back       Difference // from this revision to the previous one
}

// history stores the records of the latest revisions, bounded by MaxHistoryRevisions
// and MaxHistoryItems.
type history struct {
	records []record // oldest first
	items   int      // number of items in the differences of all records
}

func restoreHistory(records []record) history {
	result := history{records: records}
	for i := range records {
		result.items += records[i].items()
	}
	return result
}

func (r *record) items() int { return r.Forward.ItemCount() + r.Back.ItemCount() }

func (r *record) revision() Revision {
	return Revision{
		Number:     r.Number,
		Identifier: r.Identifier,
		Operator:   r.Operator,
		Comment:    r.Comment,
		At:         r.At,
		Difference: r.Forward,
		Reverse:    r.Back,
	}
}

// add appends a record of the accepted change, and drops the oldest records that
// are beyond the bounds. The before argument is the document that the change was
// applied to.
func (h *history) add(change *Change, before *Document, forward Difference) {
	entry := record{
		Number:     forward.To,
		Identifier: change.Identifier,
		Operator:   change.Operator,
		Comment:    change.Comment,
		At:         h.clampTime(change.At),
		Forward:    forward,
		Back:       reverseDifference(before, &forward),
	}
	h.records = append(h.records, entry)
	h.items += entry.items()
	for len(h.records) > MaxHistoryRevisions || (len(h.records) > 1 && h.items > MaxHistoryItems) {
		h.items -= h.records[0].items()
		h.records = h.records[1:]
	}
}

// clampTime returns the given time, or the time of the latest record if that is
// later, so that the times of revisions never decrease.
func (h *history) clampTime(at time.Time) time.Time {
	if len(h.records) == 0 {
		return at
	}
	latest := h.records[len(h.records)-1].At
	if at.Before(latest) {
		return latest
	}
	return at
}

func (h *history) latest(limit int) []Revision {
	count := max(0, min(limit, len(h.records)))
	revisions := make([]Revision, 0, count)
	for i := len(h.records) - 1; len(revisions) < count; i-- {
		revisions = append(revisions, h.records[i].revision())
	}
	return revisions
}

// findRevision returns the revision with its document, which it computes by
// reverting the later changes. It returns false if the revision is not retained.
func (h *history) findRevision(number uint64, current *Snapshot) (Revision, bool) {
	revisions := h.latest(len(h.records))
	document, found := current.DocumentAt(number, revisions)
	if !found || number == 0 || number < h.records[0].Number {
		return Revision{}, false
	}
	revision := revisions[current.Revision-number]
	revision.Document = document
	return revision, true
}

// since returns the difference between the revision and the current one, or false
// if the records between them are not all retained.
func (h *history) since(from uint64, current *Snapshot) (Difference, bool) {
	var forward DifferenceLog
	for i := range h.records {
		if h.records[i].Number > from {
			forward.Add(h.records[i].Forward)
		}
	}
	return forward.DifferenceSince(from, current)
}
