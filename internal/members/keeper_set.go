package members

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// keeperSet are the members with claims, as one list shows them.
type keeperSet struct {
	records []*record
	layout  seenLayout
	since   time.Time // nobody else kept since then what the set lets this process keep
	// found remembers who has the first claim on a key, so that a request's way does not
	// grow with the members: 64 ns in place of 1.4 us at 390 (BenchmarkKeeper). It holds the keys that
	// are asked for, and goes with the list's next change.
	found *sync.Map // by share, *record
	// former is the set before, setsKept deep: a key that this process has kept through
	// several sets is not kept anew with each of them.
	former *keeperSet
}

// setsKept is how many former sets are remembered: changes of the members with claims in as
// many minutes as it takes a quota to fill up anew are far fewer.
const setsKept = 8

// follows takes over what lasts from the set before. A set that holds the same machines, laid out alike, goes on.
func (k keeperSet) follows(before keeperSet, since time.Time) keeperSet {
	if k.layout.version == before.layout.version && k.sameMachines(before) {
		k.since, k.former = before.since, before.former
		return k
	}
	k.since, k.former = since, &before
	oldest := k.former
	for range setsKept - 1 {
		if oldest.former == nil {
			return k
		}
		copied := *oldest.former
		oldest.former, oldest = &copied, &copied
	}
	oldest.former = nil
	return k
}

// keptSince tells since when a machine has had the first claim on a key. Between two sets that this
// process saw, no other member can have kept it: one that comes settles for longer than
// a list is believed.
func (k keeperSet) keptSince(kept share, machine identity.Machine) time.Time {
	since := k.since
	for before := k.former; before != nil; before = before.former {
		if first := before.first(kept); first == nil || first.member.Process.Machine != machine {
			break
		}
		since = before.since
	}
	return since
}

// sameMachines tells whether both sets hold the same machines; both are ordered by machine. A machine's claims come to
// another zone only joinedTime after they were released, so that a set in between was seen, or the list not believed.
func (k keeperSet) sameMachines(other keeperSet) bool {
	if len(k.records) != len(other.records) {
		return false
	}
	for index, known := range k.records {
		if known.member.Process.Machine != other.records[index].member.Process.Machine {
			return false
		}
	}
	return true
}

// first returns the member with the first claim on a part; nil if none has claims, or the part moves.
func (k keeperSet) first(kept share) *record {
	if known, found := k.found.Load(kept); found {
		return known.(*record)
	}
	first := k.search(kept)
	k.found.Store(kept, first)
	return first
}

func (k keeperSet) search(kept share) *record {
	holder, held := k.layout.holder(kept)
	if !held || k.layout.unreadable {
		return nil
	}
	var first *record
	key, most := kept.digest(), uint64(0)
	for _, candidate := range k.records {
		if !holder.has(&candidate.member) {
			continue
		}
		if claimed := claim(candidate.digest, key); first == nil || claimed > most {
			first, most = candidate, claimed
		}
	}
	return first
}
