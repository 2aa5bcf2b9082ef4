package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// ServiceName is the name under which a keeper is called by other daemons.
const ServiceName = "Quota"

const (
	methodTake     = ServiceName + ".Take"
	methodGiveBack = ServiceName + ".GiveBack"
)

// TakeRequest asks for a place in a part of a tenant's quota.
type TakeRequest struct {
	Tenant    identity.Tenant
	Part      int
	UnderWay  bool
	PerSecond float64
	Burst     int
	Revision  uint64 // of the configuration that declares the quota
}

// TakeReply is a keeper's answer.
type TakeReply struct {
	Verdict Verdict
	Level   float64 // places left in the part
	// Empty is how long there will certainly be no place, but for those given back.
	Empty time.Duration
	// Back is when there is likely to be a place, after those who were refused before.
	Back  time.Duration
	Place Place
}

// Verdict is what a keeper says of a request.
type Verdict uint8

// The verdicts.
const (
	VerdictTaken Verdict = iota + 1
	VerdictRefused
	VerdictNotKept // this daemon does not keep the part
)

// Place names a place at its keeper, so that it can be given back.
type Place struct {
	Bucket uint64
	Slot   int64
}

// GiveBackRequest gives back the place of a request that was not run.
type GiveBackRequest struct {
	Tenant identity.Tenant
	Part   int
	Place  Place
}

// GiveBackReply is empty: a place that can't be taken back stays taken.
type GiveBackReply struct{}

// Standing tells which parts this process keeps alone (package members).
type Standing interface {
	Keeps(owner string, part int) (since time.Time, keeps bool)
}

// Keeper gives out the places of the parts of quotas that this daemon keeps. It is safe
// for concurrent use.
type Keeper struct {
	settings Settings
	standing Standing
	now      func() time.Time

	mutex sync.Mutex
	parts map[partKey]*part
	swept time.Time
}

type partKey struct {
	tenant identity.Tenant
	number int
}

// ownerOf is the name by which members claim the parts of a tenant's quota.
func ownerOf(tenant identity.Tenant) string { return "quota\x00" + string(tenant) }

// part is a part of one tenant's quota.
type part struct {
	*bucket
	number   uint64    // of the bucket; drawn, so that a former process's differ
	since    time.Time // nobody else kept the part since then
	declared tenant.Quota
	revision uint64
	used     time.Time
	waiting  float64 // callers that were refused and are likely to come back, this part's share
	waitedAt time.Time
}

// NewKeeper makes a keeper that keeps nothing yet.
func NewKeeper(settings Settings, standing Standing, now func() time.Time) *Keeper {
	return &Keeper{settings: settings, standing: standing, now: now, parts: map[partKey]*part{}}
}

// Take is called by other daemons.
func (k *Keeper) Take(request TakeRequest, reply *TakeReply) error {
	key := partKey{tenant: request.Tenant, number: request.Part}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.now()
	since, keeps := k.standing.Keeps(ownerOf(key.tenant), key.number)
	if !keeps {
		// What was given stays in memory: if nobody else keeps the part meanwhile, it goes on.
		reply.Verdict = VerdictNotKept
		return nil
	}
	k.sweep(now)
	kept := k.part(key, since, now)
	kept.declare(request)
	*reply = kept.serve(now, k.settings, request)
	return nil
}

// part finds a part; one that was kept by another meanwhile begins anew. The lock is held.
func (k *Keeper) part(key partKey, since, now time.Time) *part {
	kept := k.parts[key]
	if kept == nil || !kept.since.Equal(since) {
		kept = &part{bucket: newBucket(k.settings.Window, since), number: rand.Uint64(), since: since, waitedAt: now}
		k.parts[key] = kept
	}
	kept.used = now
	return kept
}

// declare takes over the quota as the newest configuration declares it that any
// daemon asked by.
func (p *part) declare(request TakeRequest) {
	if request.Revision >= p.revision {
		p.declared = tenant.Quota{PerSecond: request.PerSecond, Burst: request.Burst}
		p.revision = request.Revision
	}
}

func (p *part) serve(now time.Time, settings Settings, request TakeRequest) TakeReply {
	current := settings.rates(p.declared, request.Part)
	need := current.reserved
	if request.UnderWay {
		need = 1
	}
	slot, level, taken := p.take(now, current, need)
	reply := TakeReply{Verdict: VerdictTaken, Level: level, Place: Place{Bucket: p.number, Slot: slot}}
	if taken {
		return reply
	}
	reply.Verdict = VerdictRefused
	reply.Empty = current.until(level, need)
	before := p.queue(now, current, 1/float64(settings.Parts))
	reply.Back = min(current.until(level, need+before), settings.Window)
	return reply
}

// queue counts one more refused caller, and tells how many are likely to be before it. Each
// refused caller asked all parts, so that each part has its share of it.
func (p *part) queue(now time.Time, current rates, share float64) float64 {
	served := current.perSecond * now.Sub(p.waitedAt).Seconds()
	p.waiting, p.waitedAt = max(p.waiting-served, 0), now
	before := p.waiting
	p.waiting += share
	return before
}

// GiveBack is called by other daemons.
func (k *Keeper) GiveBack(request GiveBackRequest, _ *GiveBackReply) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	kept := k.parts[partKey{tenant: request.Tenant, number: request.Part}]
	if kept != nil && kept.number == request.Place.Bucket {
		kept.giveBack(k.now(), request.Place.Slot)
	}
	return nil
}

// Parts that nobody asked for in sweepAfter are dropped. They are full by then: a bucket
// that is made anew has filled up since nobody else kept the part.
const (
	sweepAfter = 10 * time.Minute
	sweepEvery = time.Minute
)

// sweep drops parts that were not used for long; the lock is held.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.swept) < sweepEvery {
		return
	}
	k.swept = now
	for key, kept := range k.parts {
		if now.Sub(kept.used) > sweepAfter && kept.full(now) {
			delete(k.parts, key)
		}
	}
}

func (b *bucket) full(now time.Time) bool {
	b.advance(now)
	return b.empty() && b.level(now) >= b.rates.capacity
}

// Count is how many parts this daemon keeps.
func (k *Keeper) Count() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.parts)
}
