package configuration

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Bounds of what the machine remembers beside the current document.
const (
	// RememberedAccepted is the number of accepted changes whose identifier is
	// known: a repeat of one of them returns its first result.
	RememberedAccepted = 4096
	// RememberedRejected is the same for rejected changes, kept apart so that
	// a flood of rejections never pushes out an accepted one.
	RememberedRejected = 256
	// HistoryRevisions is the number of latest revisions kept.
	HistoryRevisions = 1024
	// HistoryItems bounds the items in the differences kept; the latest
	// revision is always kept.
	HistoryItems = 40000
)

// Machine is the state machine of the configuration, whose states the store keeps:
// commands are encoded changes, results are *ChangeResult. Apply, Snapshot and
// Restore belong to one goroutine at a time; the reads are safe from any.
type Machine struct {
	current  atomic.Pointer[Snapshot]
	mutex    sync.RWMutex // guards what follows against readers
	history  history
	accepted results
	rejected results
}

// NewMachine returns a machine at revision 0 with an empty document.
func NewMachine() *Machine {
	machine := &Machine{accepted: newResults(RememberedAccepted), rejected: newResults(RememberedRejected)}
	machine.current.Store(BuildSnapshot(0, Document{}))
	return machine
}

// Current returns the latest revision; never nil, never going back.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Apply runs one encoded change and returns a *ChangeResult.
func (m *Machine) Apply(_ uint64, command []byte) any {
	change, err := decodeChange(command)
	if err != nil {
		return &ChangeResult{Revision: m.Current().Revision, Faults: []string{err.Error()}}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if first, found := m.remembered(change.Identifier); found {
		return &first
	}
	result := m.decide(&change)
	if result.Accepted {
		m.accepted.add(change.Identifier, result)
	} else {
		m.rejected.add(change.Identifier, result)
	}
	return &result
}

func (m *Machine) remembered(identifier string) (ChangeResult, bool) {
	if result, found := m.accepted.find(identifier); found {
		return result, true
	}
	return m.rejected.find(identifier)
}

// decide accepts or rejects a change that was not seen before.
func (m *Machine) decide(change *Change) ChangeResult {
	current := m.Current()
	if change.Identifier == "" {
		return ChangeResult{Revision: current.Revision, Faults: []string{"the change has no identifier"}}
	}
	if change.BaseRevision != current.Revision {
		return ChangeResult{Revision: current.Revision, Conflict: true}
	}
	difference, faults := differenceOf(change, current)
	if len(faults) > 0 {
		return ChangeResult{Revision: current.Revision, Faults: faults}
	}
	next := current.Patched(&difference)
	if change.Partial != nil { // A whole document was validated before it was compared.
		faults = Validate(&next.Document)
	}
	if len(faults) > 0 {
		return ChangeResult{Revision: current.Revision, Faults: faults}
	}
	m.history.add(change, &current.Document, difference)
	m.current.Store(next)
	return ChangeResult{Accepted: true, Revision: next.Revision}
}

// differenceOf reduces a change to the difference from the current revision.
// A whole document is validated; of a partial change only whether it fits.
func differenceOf(change *Change, current *Snapshot) (Difference, []string) {
	var difference Difference
	if change.Partial == nil {
		if faults := Validate(&change.Document); len(faults) > 0 {
			return Difference{}, faults
		}
		document := Normalize(&change.Document)
		difference = Compare(&current.Document, &document)
	} else {
		if faults := checkPartial(change.Partial, &current.Document); len(faults) > 0 {
			return Difference{}, faults
		}
		difference = *change.Partial
	}
	difference.From = current.Revision
	difference.To = current.Revision + 1
	return difference, nil
}

// Reduced turns a change of the whole document into a partial one where the
// snapshot is the revision that the change was made against, so that only what
// differs is replicated. An invalid document stays whole, for its faults.
func (s *Snapshot) Reduced(change Change) Change {
	if change.Partial != nil || change.BaseRevision != s.Revision || len(Validate(&change.Document)) > 0 {
		return change
	}
	document := Normalize(&change.Document)
	difference := Compare(&s.Document, &document)
	change.Document = Document{}
	change.Partial = &difference
	return change
}

// History gives the latest revisions, newest first, at most limit of them,
// each with its difference from the one before and without its document.
func (m *Machine) History(limit int) []Revision {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.history.latest(limit)
}

// Revision gives one kept revision with its document, or false.
func (m *Machine) Revision(number uint64) (Revision, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.history.at(number, m.Current())
}

// Difference leads from the revision to the current one. It is false when the
// revision is no longer kept (or is later than the current): then the reader
// must take the whole document.
func (m *Machine) Difference(from uint64) (Difference, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	current := m.Current()
	return m.history.since(from, current)
}

// state is what a snapshot of the machine carries.
type state struct {
	Revision uint64
	Document Document
	History  []record
	Accepted []namedResult
	Rejected []namedResult
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	current := m.Current()
	return encode(&state{
		Revision: current.Revision,
		Document: current.Document,
		History:  m.history.records,
		Accepted: m.accepted.list(),
		Rejected: m.rejected.list(),
	}, "encode configuration")
}

// EncodeState gives a state for Restore that has the snapshot's document and no history.
func EncodeState(snapshot *Snapshot) ([]byte, error) {
	return encode(&state{Revision: snapshot.Revision, Document: snapshot.Document}, "encode configuration")
}

// Restore replaces the whole state. It refuses bytes that are no state of a
// machine and one that is behind the current revision, and then changes nothing.
func (m *Machine) Restore(snapshot []byte) error {
	var restored state
	if err := decode(snapshot, &restored, "decode configuration"); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current := m.Current().Revision; restored.Revision < current {
		return fmt.Errorf("restore configuration: revision %d is behind the current %d", restored.Revision, current)
	}
	m.history = historyOf(restored.History)
	m.accepted = resultsOf(RememberedAccepted, restored.Accepted)
	m.rejected = resultsOf(RememberedRejected, restored.Rejected)
	m.current.Store(BuildSnapshot(restored.Revision, restored.Document))
	return nil
}
