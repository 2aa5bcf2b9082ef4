package configuration

// DifferenceLog stores the differences between consecutive recent revisions. It
// computes from them the difference between an older revision and the current
// one. It retains at most MaxHistoryRevisions differences with at most MaxHistoryItems
// items in total, but always the latest difference. The zero value is empty and
// ready to use. A DifferenceLog is not safe for concurrent use.
type DifferenceLog struct {
	retained []Difference // oldest first; each starts at the revision at which the previous one ends
	items    int
}

// Add appends the difference. If the difference does not start at the revision
// at which the latest retained one ends, Add first discards all earlier differences.
func (d *DifferenceLog) Add(difference Difference) {
	if len(d.retained) > 0 && d.retained[len(d.retained)-1].To != difference.From {
		*d = DifferenceLog{}
	}
	d.retained = append(d.retained, difference)
	d.items += difference.ItemCount()
	for len(d.retained) > MaxHistoryRevisions || (len(d.retained) > 1 && d.items > MaxHistoryItems) {
		d.items -= d.retained[0].ItemCount()
		d.retained = d.retained[1:]
	}
}

// DifferenceSince returns the difference between the revision and the current one. It
// returns false if the differences between them are not all retained; the caller
// then needs the whole document.
func (d *DifferenceLog) DifferenceSince(from uint64, current *Snapshot) (Difference, bool) {
	if from == current.Revision {
		return Difference{From: from, To: from}, true
	}
	var changed changedNames
	found := false
	for i := range d.retained {
		found = found || d.retained[i].From == from
		if found {
			changed.add(&d.retained[i])
		}
	}
	if !found || d.retained[len(d.retained)-1].To != current.Revision {
		return Difference{}, false
	}
	difference := changed.differenceTo(&current.Document)
	difference.From = from
	difference.To = current.Revision
	return difference, true
}
