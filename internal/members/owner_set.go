package members

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// ownerSet determines the owner of each shard. It holds the members with claims and the layout of
// one version of the list.
type ownerSet struct {
	records []*memberRecord
	layout  storedLayout
	since   time.Time // since then, no other process has owned the shards that this set assigns to this process
	// cache holds the results of ownerOf, so that repeated lookups don't depend on the number of
	// members: with 390 members, one takes 64 ns instead of 1.4 us. Each new version of the list
	// starts with an empty cache.
	cache *sync.Map // shard to *memberRecord
	// previous is the set before the last change, or nil. The chain of previous sets has at most
	// maxPreviousSets elements. It shows how long this process has owned a shard across changes.
	previous *ownerSet
}

// maxPreviousSets bounds the chain of previous sets. It exceeds the number of changes that are
// expected while a quota refills.
const maxPreviousSets = 8

// continueFrom returns s with the given time since and with previous as its previous set. If
// neither the layout nor the machines have changed, the result has the time and the chain of
// previous sets of previous instead.
func (s ownerSet) continueFrom(previous ownerSet, since time.Time) ownerSet {
	if s.layout.version == previous.layout.version && s.hasSameMachines(previous) {
		s.since, s.previous = previous.since, previous.previous
		return s
	}
	s.since, s.previous = since, &previous
	oldest := s.previous
	for range maxPreviousSets - 1 {
		if oldest.previous == nil {
			return s
		}
		clone := *oldest.previous
		oldest.previous, oldest = &clone, &clone
	}
	oldest.previous = nil
	return s
}

// ownedSince returns the time since which the machine has owned the shard without interruption. The
// caller has checked that s assigns the shard to the machine. Between two sets that this process
// saw, no other member can have owned the shard, because a new member settles for longer than any
// list may be used.
func (s ownerSet) ownedSince(wanted shard, machine identity.Machine) time.Time {
	since := s.since
	for earlier := s.previous; earlier != nil; earlier = earlier.previous {
		if owner := earlier.ownerOf(wanted); owner == nil || owner.member.Process.Machine != machine {
			break
		}
		since = earlier.since
	}
	return since
}

// hasSameMachines reports whether both sets hold the same machines in the same order. It needn't
// compare the zones of the claims: a machine gets claims in another zone only after its claims were
// released, at least joinDelay later. By then, this process has seen a set without the machine, or
// its list has become too old to use.
func (s ownerSet) hasSameMachines(other ownerSet) bool {
	if len(s.records) != len(other.records) {
		return false
	}
	for index, rec := range s.records {
		if rec.member.Process.Machine != other.records[index].member.Process.Machine {
			return false
		}
	}
	return true
}

// ownerOf returns the owner of a shard. It is nil if the shard is moving to another zone, if no
// member has claims in its zone, or if the layout can't be decoded.
func (s ownerSet) ownerOf(wanted shard) *memberRecord {
	if cached, isCached := s.cache.Load(wanted); isCached {
		return cached.(*memberRecord)
	}
	owner := s.findOwner(wanted)
	s.cache.Store(wanted, owner)
	return owner
}

func (s ownerSet) findOwner(wanted shard) *memberRecord {
	group, assigned := s.layout.groupOf(wanted)
	if !assigned || s.layout.isUnreadable {
		return nil
	}
	var owner *memberRecord
	key, highest := wanted.hash(), uint64(0)
	for _, candidate := range s.records {
		if !group.contains(&candidate.member) {
			continue
		}
		if candidateScore := score(candidate.nameHash, key); owner == nil || candidateScore > highest {
			owner, highest = candidate, candidateScore
		}
	}
	return owner
}
