package program

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// ErrMalformedSnapshot means that a snapshot contradicts itself or is of
// another version or shard.
var ErrMalformedSnapshot = errors.New("malformed snapshot")

const snapshotVersion = 1

// snapshot is the whole state of a shard. Programs are in order of their
// identifiers, so that equal shards have equal snapshots.
type snapshot struct {
	Version  int            `cbor:"1,keyasint"`
	Shard    identity.Shard `cbor:"2,keyasint"`
	Now      time.Time      `cbor:"3,keyasint,omitzero"`
	Programs []*aggregate   `cbor:"4,keyasint,omitzero"`
}

// Snapshot encodes the whole state.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.collect().encode()
}

// collect gathers the state without copying it.
func (s *Shard) collect() *snapshot {
	whole := &snapshot{Version: snapshotVersion, Shard: s.number, Now: s.now}
	whole.Programs = make([]*aggregate, 0, len(s.programs))
	for _, owner := range s.programs {
		whole.Programs = append(whole.Programs, owner)
	}
	return whole
}

func (w *snapshot) encode() ([]byte, error) {
	slices.SortFunc(w.Programs, func(first, second *aggregate) int { return cmp.Compare(first.ID, second.ID) })
	encoded, err := encoder.Marshal(w)
	return encoded, eris.Wrapf(err, "encode snapshot of shard %d", w.Shard)
}

// Restore replaces the whole state. On an error the state stays as it was.
func (s *Shard) Restore(encoded []byte) error {
	var whole snapshot
	if err := decoder.Unmarshal(encoded, &whole); err != nil {
		return eris.Wrapf(err, "decode snapshot of shard %d", s.number)
	}
	if whole.Version != snapshotVersion || whole.Shard != s.number {
		return eris.Wrapf(ErrMalformedSnapshot, "version %d of shard %d", whole.Version, whole.Shard)
	}
	restored := NewShard(s.number)
	restored.now = whole.Now
	for _, owner := range whole.Programs {
		if err := restored.include(owner); err != nil {
			return err
		}
	}
	if err := restored.checkFamilies(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.adoptState(restored)
	return nil
}

// include adds a decoded program after checking what the rules rely on.
func (s *Shard) include(owner *aggregate) error {
	if owner == nil || s.programs[owner.ID] != nil || !owner.consistent() {
		return eris.Wrap(ErrMalformedSnapshot, "include program")
	}
	s.programs[owner.ID] = owner
	s.names.aggregate(owner)
	if owner.CreationKey != "" {
		s.byKey[creationKey{tenant: owner.Tenant, parent: owner.Parent, key: owner.CreationKey}] = owner.ID
	}
	s.track(owner)
	return nil
}

// consistent checks sequences, attempt numbers, states and the totals.
func (a *aggregate) consistent() bool {
	if a.State != ProgramOpen && a.State != ProgramEnded {
		return false
	}
	var totals aggregate
	for i, call := range a.Calls {
		if call == nil || call.Spec.Sequence != uint64(i)+1 {
			return false
		}
		if (call.State == CallAnswered) != (call.Answer != nil) {
			return false
		}
		for j := range call.Attempts {
			if int(call.Attempts[j].Number) != j+1 {
				return false
			}
			totals.count(&call.Attempts[j], 1)
		}
	}
	return totals.Spent == a.Spent && totals.Reserved == a.Reserved && a.Depth >= 0 && a.Depth <= MaxDepth
}

// checkFamilies checks that depths grow from parent to child, which excludes
// cycles, and that both name each other.
func (s *Shard) checkFamilies() error {
	for _, owner := range s.programs {
		if parent := s.programs[owner.Parent]; parent != nil && owner.Depth != parent.Depth+1 {
			return eris.Wrap(ErrMalformedSnapshot, "check depth")
		}
		for _, identifier := range owner.Children {
			if child := s.programs[identifier]; child == nil || child.Parent != owner.ID {
				return eris.Wrap(ErrMalformedSnapshot, "check children")
			}
		}
	}
	return nil
}
