package gateway

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/engineloss"
)

const (
	recentAnswerSlots = 1 << 12
	// recentAnswerAge is how long work counts as answered recently.
	recentAnswerAge = 10 * time.Second
)

// recentAnswers remembers work that was answered recently, at most one for each slot. The zero value is
// empty. It is safe for concurrent use and takes no lock.
type recentAnswers struct {
	slots [recentAnswerSlots]recentAnswer
}

// recentAnswer is the work that was answered last of those that share a slot. A reader may see the
// fingerprint of one and the time of another; both were answered.
type recentAnswer struct {
	fingerprint atomic.Uint64
	at          atomic.Int64 // unix nanoseconds
}

func (r *recentAnswers) slot(work engineloss.Digest) (slot *recentAnswer, fingerprint uint64) {
	index := binary.LittleEndian.Uint16(work[:]) % recentAnswerSlots
	const fingerprintBytes = 8
	return &r.slots[index], binary.LittleEndian.Uint64(work[len(work)-fingerprintBytes:])
}

func (r *recentAnswers) add(work engineloss.Digest, now time.Time) {
	slot, fingerprint := r.slot(work)
	slot.at.Store(now.UnixNano())
	slot.fingerprint.Store(fingerprint)
}

func (r *recentAnswers) has(work engineloss.Digest, now time.Time) bool {
	slot, fingerprint := r.slot(work)
	return slot.fingerprint.Load() == fingerprint && now.UnixNano()-slot.at.Load() < int64(recentAnswerAge)
}
