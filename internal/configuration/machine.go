package configuration

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Bounds of the results and the history that a Machine stores. MaxHistoryRevisions and
// MaxHistoryItems also apply to a DifferenceLog.
const (
	// MaxAcceptedResults is the maximum number of accepted changes whose results
	// are stored. A repeat of such a change returns the stored result.
	MaxAcceptedResults = 4096
	// MaxRejectedResults is the maximum number of rejected changes whose results
	// are stored. They are stored separately, so that many rejections do not
	// evict the results of accepted changes.
	MaxRejectedResults = 256
	// MaxHistoryRevisions is the maximum number of revisions in the history.
	MaxHistoryRevisions = 1024
	// MaxHistoryItems is the maximum number of items in all differences of the
	// history. The latest revision is retained even if it exceeds this bound.
	MaxHistoryItems = 40000
)

// Machine is the state machine of the configuration. Its commands are encoded
// changes. Apply, Snapshot and Restore must be called by one goroutine at a time;
// the other methods are safe for concurrent use.
type Machine struct {
	current  atomic.Pointer[Snapshot]
	mutex    sync.RWMutex // guards the fields below
	history  history
	accepted resultCache
	rejected resultCache
}

// NewMachine returns a machine at revision 0 with an empty document.
func NewMachine() *Machine {
	machine := &Machine{accepted: newResultCache(MaxAcceptedResults), rejected: newResultCache(MaxRejectedResults)}
	machine.current.Store(NewSnapshot(0, Document{}))
	return machine
}

// Current returns the latest revision. It never returns nil, and the revision
// number never decreases.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Apply decodes and applies one change and returns a *ChangeResult. The first
// argument is not used. An accepted change creates a new revision; a rejected one
// changes nothing but the stored results. If a result is stored for the identifier
// of the change, Apply returns that result and changes nothing.
func (m *Machine) Apply(_ uint64, command []byte) any {
	change, err := decodeChange(command)
	if err != nil {
		return &ChangeResult{Revision: m.Current().Revision, Faults: []string{err.Error()}}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if first, found := m.findResult(change.Identifier); found {
		return &first
	}
	result := m.applyChange(&change)
	if result.Accepted {
		m.accepted.add(change.Identifier, result)
	} else {
		m.rejected.add(change.Identifier, result)
	}
	return &result
}

func (m *Machine) findResult(identifier string) (ChangeResult, bool) {
	if result, found := m.accepted.find(identifier); found {
		return result, true
	}
	return m.rejected.find(identifier)
}

// applyChange validates a change whose identifier has no stored result, and applies it
// if it is valid.
func (m *Machine) applyChange(change *Change) ChangeResult {
	current := m.Current()
	if change.Identifier == "" {
		return ChangeResult{Revision: current.Revision, Faults: []string{"the change has no identifier"}}
	}
	if change.BaseRevision != current.Revision {
		return ChangeResult{Revision: current.Revision, Conflict: true}
	}
	difference, faults := buildDifference(change, current)
	if len(faults) > 0 {
		return ChangeResult{Revision: current.Revision, Faults: faults}
	}
	next := current.WithDifference(&difference)
	if change.Partial != nil { // buildDifference has already validated a whole document
		faults = Validate(&next.Document)
	}
	if len(faults) > 0 {
		return ChangeResult{Revision: current.Revision, Faults: faults}
	}
	m.history.add(change, &current.Document, difference)
	m.current.Store(next)
	return ChangeResult{Accepted: true, Revision: next.Revision}
}

// buildDifference returns the difference between the current revision and the
// result of the change, or the faults that reject the change. It validates a whole
// document, but checks a partial change only with checkPartial: for a partial
// change the caller must validate the resulting document.
func buildDifference(change *Change, current *Snapshot) (Difference, []string) {
	var difference Difference
	if change.Partial == nil {
		if faults := Validate(&change.Document); len(faults) > 0 {
			return Difference{}, faults
		}
		document := Normalize(&change.Document)
		difference = ComputeDifference(&current.Document, &document)
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

// ReduceChange returns an equivalent partial change for a change of the whole document,
// so that only the differing items have to be encoded. It returns the change as it
// is if the change is already partial, its base is another revision, or its
// document is invalid.
func (s *Snapshot) ReduceChange(change Change) Change {
	if change.Partial != nil || change.BaseRevision != s.Revision || len(Validate(&change.Document)) > 0 {
		return change
	}
	document := Normalize(&change.Document)
	difference := ComputeDifference(&s.Document, &document)
	change.Document = Document{}
	change.Partial = &difference
	return change
}

// History returns the latest revisions without their documents, newest first. The
// limit is the maximum number of revisions returned.
func (m *Machine) History(limit int) []Revision {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.history.latest(limit)
}

// Revision returns a revision with its document, or false if the revision is not
// in the history.
func (m *Machine) Revision(number uint64) (Revision, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.history.findRevision(number, m.Current())
}

// DifferenceSince returns the difference between the given revision and the current
// one. It returns false if the history does not reach back to the given revision,
// or if that is later than the current one; the caller then needs the whole
// document.
func (m *Machine) DifferenceSince(from uint64) (Difference, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	current := m.Current()
	return m.history.since(from, current)
}

// state is the encoded form of a Machine.
type state struct {
	Revision uint64
	Document Document
	History  []record
	Accepted []namedResult
	Rejected []namedResult
}

// Snapshot encodes the whole state of the machine, for Restore.
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

// EncodeState encodes a state for Restore that has the revision and document of
// the snapshot, and neither history nor results.
func EncodeState(snapshot *Snapshot) ([]byte, error) {
	return encode(&state{Revision: snapshot.Revision, Document: snapshot.Document}, "encode configuration")
}

// Restore replaces the state of the machine by an encoded one. It returns an error
// and changes nothing if the data cannot be decoded or if its revision is older
// than the current one.
func (m *Machine) Restore(snapshot []byte) error {
	var newState state
	if err := decode(snapshot, &newState, "decode configuration"); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current := m.Current().Revision; newState.Revision < current {
		return fmt.Errorf("restore configuration: revision %d is older than the current revision %d", newState.Revision, current)
	}
	m.history = restoreHistory(newState.History)
	m.accepted = restoreResultCache(MaxAcceptedResults, newState.Accepted)
	m.rejected = restoreResultCache(MaxRejectedResults, newState.Rejected)
	m.current.Store(NewSnapshot(newState.Revision, newState.Document))
	return nil
}
