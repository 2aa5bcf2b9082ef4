package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// ServiceName is the net/rpc service name of Issuer.
const ServiceName = "Quota"

const (
	methodTake     = ServiceName + ".Take"
	methodGiveBack = ServiceName + ".GiveBack"
)

// TakeRequest asks an owner for a permit from one part of a tenant's quota.
type TakeRequest struct {
	Tenant    identity.Tenant
	Part      int
	UnderWay  bool
	PerSecond float64
	Burst     int
	Revision  uint64 // of the configuration that declares the quota
}

// TakeReply is an owner's answer to a TakeRequest.
type TakeReply struct {
	Verdict Verdict
	Level   float64 // permits left in the part
	// Empty is how long the part will have no permit for such a request, unless one is
	// released.
	Empty time.Duration
	// Back is how long the caller should wait before it asks again. This wait allows for the
	// retries of callers that were refused earlier.
	Back  time.Duration
	Place PermitID
}

// Verdict is an owner's decision on a request.
type Verdict uint8

// The verdicts of an owner.
const (
	VerdictGranted Verdict = iota + 1
	VerdictRefused
	VerdictNotOwner // this daemon is not the owner of the part
)

// PermitID identifies a permit at the owner that issued it, so that it can be released.
type PermitID struct {
	Bucket uint64
	Slot   int64
}

// GiveBackRequest releases the permit of a request that was not executed.
type GiveBackRequest struct {
	Tenant identity.Tenant
	Part   int
	Place  PermitID
}

// GiveBackReply is empty. A permit that is too old to be released stays issued, which is not
// an error.
type GiveBackReply struct{}

// Ownership reports which parts this process is the only owner of, and since when.
// *members.List implements it.
type Ownership interface {
	OwnsShard(key string, part int) (since time.Time, owns bool)
}

// Issuer issues the permits of the quota parts that are assigned to this daemon. It is safe
// for concurrent use.
type Issuer struct {
	settings  Settings
	ownership Ownership
	now       func() time.Time

	mutex     sync.Mutex
	parts     map[partKey]*part
	lastSweep time.Time
}

type partKey struct {
	tenant identity.Tenant
	number int
}

// shardKey returns the key of the shards that are the parts of the tenant's quota.
func shardKey(tenant identity.Tenant) string { return "quota\x00" + string(tenant) }

// part is the state of one part of a tenant's quota.
type part struct {
	*bucket
	bucketID       uint64    // random, so that buckets of earlier processes have other IDs
	since          time.Time // when this daemon became the only owner of the part
	declared       tenant.Quota
	revision       uint64
	lastUsed       time.Time
	queueLength    float64 // estimated number of refused callers that will retry, divided by the number of parts
	queueUpdatedAt time.Time
}

// NewIssuer returns an issuer without any parts. A part is added when it is first asked for.
func NewIssuer(settings Settings, ownership Ownership, now func() time.Time) *Issuer {
	return &Issuer{settings: settings, ownership: ownership, now: now, parts: map[partKey]*part{}}
}

// Take issues a permit or refuses the request. If this daemon is not the owner of the part, the
// verdict is VerdictNotOwner. Other daemons call Take with net/rpc.
func (i *Issuer) Take(request TakeRequest, reply *TakeReply) error {
	key := partKey{tenant: request.Tenant, number: request.Part}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := i.now()
	since, owns := i.ownership.OwnsShard(shardKey(key.tenant), key.number)
	if !owns {
		// The part stays in memory and is used again if no other daemon owns it in the meantime.
		reply.Verdict = VerdictNotOwner
		return nil
	}
	i.sweepParts(now)
	entry := i.getOrCreatePart(key, since, now)
	entry.updateQuota(request)
	*reply = entry.serveRequest(now, i.settings, request)
	return nil
}

// getOrCreatePart returns the part with the key. since is when this daemon became its only owner.
// If the part is new, or another daemon owned it in the meantime, it gets a new bucket, which was
// empty at that time. The caller must hold the lock.
func (i *Issuer) getOrCreatePart(key partKey, since, now time.Time) *part {
	entry := i.parts[key]
	if entry == nil || !entry.since.Equal(since) {
		entry = &part{bucket: newBucket(i.settings.Window, since), bucketID: rand.Uint64(), since: since, queueUpdatedAt: now}
		i.parts[key] = entry
	}
	entry.lastUsed = now
	return entry
}

// updateQuota adopts the quota of the request, unless the part already has one of a newer
// configuration revision.
func (p *part) updateQuota(request TakeRequest) {
	if request.Revision >= p.revision {
		p.declared = tenant.Quota{PerSecond: request.PerSecond, Burst: request.Burst}
		p.revision = request.Revision
	}
}

func (p *part) serveRequest(now time.Time, settings Settings, request TakeRequest) TakeReply {
	current := settings.rates(p.declared, request.Part)
	minLevel := current.reservedLevel
	if request.UnderWay {
		minLevel = 1
	}
	slot, level, issued := p.issuePermit(now, current, minLevel)
	reply := TakeReply{Verdict: VerdictGranted, Level: level, Place: PermitID{Bucket: p.bucketID, Slot: slot}}
	if issued {
		return reply
	}
	reply.Verdict = VerdictRefused
	reply.Empty = current.timeUntil(level, minLevel)
	ahead := p.enqueue(now, current, 1/float64(settings.Parts))
	reply.Back = min(current.timeUntil(level, minLevel+ahead), settings.Window)
	return reply
}

// enqueue adds a refused caller to the estimated queue and returns the length of the queue ahead
// of this caller. Most refused callers ask all parts, so each part adds only the given share of a
// caller.
func (p *part) enqueue(now time.Time, current rates, share float64) float64 {
	served := current.perSecond * now.Sub(p.queueUpdatedAt).Seconds()
	p.queueLength, p.queueUpdatedAt = max(p.queueLength-served, 0), now
	ahead := p.queueLength
	p.queueLength += share
	return ahead
}

// GiveBack makes an issued permit available again, unless the permit is too old or from a bucket
// that no longer exists. Other daemons call GiveBack with net/rpc.
func (i *Issuer) GiveBack(request GiveBackRequest, _ *GiveBackReply) error {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	entry := i.parts[partKey{tenant: request.Tenant, number: request.Part}]
	if entry != nil && entry.bucketID == request.Place.Bucket {
		entry.release(i.now(), request.Place.Slot)
	}
	return nil
}

// A part that was not asked for during sweepAfter is dropped if it is full. No permit is lost: a
// new bucket for the part refills from the time at which this daemon became its owner.
// sweepInterval is the minimum time between two searches for such parts.
const (
	sweepAfter    = 10 * time.Minute
	sweepInterval = time.Minute
)

// sweepParts drops full parts that were not asked for during sweepAfter, at most once per
// sweepInterval. The caller must hold the lock.
func (i *Issuer) sweepParts(now time.Time) {
	if now.Sub(i.lastSweep) < sweepInterval {
		return
	}
	i.lastSweep = now
	for key, entry := range i.parts {
		if now.Sub(entry.lastUsed) > sweepAfter && entry.isFull(now) {
			delete(i.parts, key)
		}
	}
}

func (b *bucket) isFull(now time.Time) bool {
	b.advance(now)
	return b.isUnused() && b.level(now) >= b.rates.capacity
}

// PartCount returns the number of parts in memory.
func (i *Issuer) PartCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return len(i.parts)
}
