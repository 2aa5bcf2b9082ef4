package members

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// ownerSet is the set of members with claims in one version of the list, with the layout. It
// determines the owner of each shard.
type ownerSet struct {
	records []*memberRecord
	layout  storedLayout
	since   time.Time // since then no other process has owned the shards that this set leaves to this process
	// cache holds the owners of shards looked up before, so that repeated lookups don't depend on
	// the number of members. It is discarded with the next change of the list.
	cache *sync.Map // shard to *memberRecord
	// previous is the set before the last change. The chain is at most maxPreviousSets long and
	// tells how long this process has owned a shard across changes.
	previous *ownerSet
}

// maxPreviousSets bounds the chain of previous sets. Fewer changes of the members with claims are
// expected in the time in which a quota refills.
const maxPreviousSets = 8

// continueFrom returns s linked to the previous set, with since as the time of the change. If the
// layout and the machines are the same, s takes over the previous set's times instead.
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

// ownedSince returns the time since which the machine has been the owner of the shard without
// interruption. No other member can have owned it between two sets that this process saw, because a
// new member settles for longer than a list may be used.
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

// hasSameMachines reports whether both sets, which are ordered by machine, hold the same machines.
// The zone of a machine's claims needn't be compared: it changes only joinDelay after the claims
// were released, so a set without them was seen in between, or the list became too old to use.
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

// ownerOf returns the owner of a shard; nil if no member has claims or the shard is moving to
// another zone.
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
		if !group.has(&candidate.member) {
			continue
		}
		if candidateScore := score(candidate.nameHash, key); owner == nil || candidateScore > highest {
			owner, highest = candidate, candidateScore
		}
	}
	return owner
}
