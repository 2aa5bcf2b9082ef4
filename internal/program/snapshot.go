package program

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// ErrMalformedSnapshot means that a snapshot is inconsistent or belongs to another
// version or shard.
var ErrMalformedSnapshot = errors.New("malformed snapshot")

const snapshotVersion = 1

// snapshot is the encoded form of a shard's state. The programs are sorted by
// identifier, so that equal states have equal encodings.
type snapshot struct {
	Version  int              `cbor:"1,keyasint"`
	Shard    identity.Shard   `cbor:"2,keyasint"`
	Now      time.Time        `cbor:"3,keyasint,omitzero"`
	Programs []*programRecord `cbor:"4,keyasint,omitzero"`
}

// Snapshot encodes the state of the shard. Restore reads the encoding.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.collectSnapshot().encode()
}

// collectSnapshot returns a snapshot that shares the programs with the shard and
// is not sorted yet. The caller must hold the mutex.
func (s *Shard) collectSnapshot() *snapshot {
	result := &snapshot{Version: snapshotVersion, Shard: s.number, Now: s.now}
	result.Programs = make([]*programRecord, 0, len(s.programs))
	for _, program := range s.programs {
		result.Programs = append(result.Programs, program)
	}
	return result
}

func (s *snapshot) encode() ([]byte, error) {
	slices.SortFunc(s.Programs, func(first, second *programRecord) int { return cmp.Compare(first.ID, second.ID) })
	encoded, err := encoder.Marshal(s)
	return encoded, eris.Wrapf(err, "encode snapshot of shard %d", s.Shard)
}

// Restore replaces the state of the shard by a snapshot. If it returns an error,
// the state is unchanged. A snapshot that decodes but is not valid for this shard
// gives an error that wraps ErrMalformedSnapshot.
func (s *Shard) Restore(encoded []byte) error {
	var decoded snapshot
	if err := decoder.Unmarshal(encoded, &decoded); err != nil {
		return eris.Wrapf(err, "decode snapshot of shard %d", s.number)
	}
	if decoded.Version != snapshotVersion || decoded.Shard != s.number {
		return eris.Wrapf(ErrMalformedSnapshot, "version %d of shard %d", decoded.Version, decoded.Shard)
	}
	restored := NewShard(s.number)
	restored.now = decoded.Now
	for _, program := range decoded.Programs {
		if err := restored.addRestored(program); err != nil {
			return err
		}
	}
	if err := restored.checkParentLinks(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.takeState(restored)
	return nil
}

// addRestored adds a decoded program and its index entries. It returns an error
// if the program is inconsistent or a duplicate.
func (s *Shard) addRestored(program *programRecord) error {
	if program == nil || s.programs[program.ID] != nil || !program.isConsistent() {
		return eris.Wrap(ErrMalformedSnapshot, "include program")
	}
	s.programs[program.ID] = program
	s.names.internProgram(program)
	if program.CreationKey != "" {
		s.byCreationKey[creationKey{tenant: program.Tenant, parent: program.Parent, key: program.CreationKey}] = program.ID
	}
	s.updateActive(program)
	return nil
}

// isConsistent reports whether the program's states, sequence numbers, attempt
// numbers and budget totals agree with each other.
func (p *programRecord) isConsistent() bool {
	if p.State != ProgramOpen && p.State != ProgramEnded {
		return false
	}
	var totals programRecord
	for i, call := range p.Calls {
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
			totals.addToTotals(&call.Attempts[j], 1)
		}
	}
	return totals.Spent == p.Spent && totals.Reserved == p.Reserved && p.Depth >= 0 && p.Depth <= MaxDepth
}

// checkParentLinks checks that each child is one level deeper than its parent,
// which excludes cycles, and that a parent's children name it as their parent.
func (s *Shard) checkParentLinks() error {
	for _, program := range s.programs {
		if parent := s.programs[program.Parent]; parent != nil && program.Depth != parent.Depth+1 {
			return eris.Wrap(ErrMalformedSnapshot, "check depth")
		}
		for _, identifier := range program.Children {
			if child := s.programs[identifier]; child == nil || child.Parent != program.ID {
				return eris.Wrap(ErrMalformedSnapshot, "check children")
			}
		}
	}
	return nil
}
