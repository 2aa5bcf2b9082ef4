package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Timeouts and limits of a Limiter.
const (
	// callTimeout limits the duration of one call, and that of the whole search for a permit.
	callTimeout = 150 * time.Millisecond
	// hedgeDelay is how long to wait for an answer before the next owner is asked as well.
	hedgeDelay = 30 * time.Millisecond
	// avoidDuration is how long an owner stays last in the order after a call to it has failed.
	avoidDuration = 500 * time.Millisecond
	// releaseTimeout limits the duration of the call that releases a permit.
	releaseTimeout = time.Second
	// minRetryAfter is the minimum wait that is returned to a refused caller, before jitter.
	minRetryAfter = 100 * time.Millisecond
	// emptyCacheSize is the maximum number of parts that are remembered as empty. It allows for
	// many tenants that are at their limit at the same time.
	emptyCacheSize = 4096
)

// Directory provides the owners of the parts and reports which zones are silent. *members.List
// implements it.
type Directory interface {
	// ShardOwner returns the owner of a part of the key, if it is known.
	ShardOwner(key string, part int) (members.Member, bool)
	// IsZoneSilent reports whether the member's whole zone has stopped answering.
	IsZoneSilent(member members.Member) bool
	// RecordMiss records that a call to the member failed.
	RecordMiss(member members.Member)
	// RecordAnswer records that a call to the member succeeded.
	RecordAnswer(member members.Member)
	// Self returns the process of this daemon.
	Self() identity.Process
}

// Limiter gets permits for the requests that arrive at this daemon. It is safe for
// concurrent use.
type Limiter struct {
	settings   Settings
	issuer     *Issuer // of the parts assigned to this daemon
	directory  Directory
	peerClient peer.Client
	now        func() time.Time
	log        *zap.Logger
	emptyUntil *lru.Cache[emptyPartKey, time.Time] // when the part may have a permit again

	mutex   sync.Mutex
	avoided map[identity.Machine]time.Time
	metrics metrics
}

type emptyPartKey struct {
	part         partKey
	continuation bool
	revision     uint64
}

// Options are the settings and dependencies of a Limiter.
type Options struct {
	Settings   Settings
	Issuer     *Issuer
	Directory  Directory
	PeerClient peer.Client
	Now        func() time.Time
	Log        *zap.Logger
}

// NewLimiter returns a limiter with its own cache of empty parts.
func NewLimiter(options Options) *Limiter {
	emptyUntil, err := lru.New[emptyPartKey, time.Time](emptyCacheSize)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Limiter{
		settings: options.Settings, issuer: options.Issuer, directory: options.Directory, peerClient: options.PeerClient, now: options.Now, log: options.Log,
		emptyUntil: emptyUntil, avoided: map[identity.Machine]time.Time{},
	}
}

// Acquire gets a permit for the request. It returns nil without an error if the tenant has no
// limit. If no owner grants a permit, the error is *ExceededError if an owner refused the
// request, or if a part is known to be empty from an earlier answer. Otherwise it is
// *UnreachableError.
func (l *Limiter) Acquire(ctx context.Context, request Request) (*Permit, error) {
	if !request.Quota.IsLimited() {
		return nil, nil
	}
	start := l.now()
	attempt := newAcquisition(l, request)
	permit := attempt.run(ctx)
	attempt.decision.Duration = l.now().Sub(start)
	if permit != nil {
		permit.Decision = attempt.decision
		l.metrics.countResult(resultTaken)
		return permit, nil
	}
	if attempt.retryAfter == maxWait {
		l.metrics.countResult(resultUnreached)
		return nil, &UnreachableError{Decision: attempt.decision, Tenant: request.Tenant}
	}
	l.metrics.countResult(resultRefused)
	return nil, &ExceededError{
		Decision: attempt.decision, Tenant: request.Tenant, Limit: int(l.settings.limit(request.Quota)), RetryAfter: addJitter(attempt.retryAfter),
	}
}

// addJitter returns the wait, but at least minRetryAfter, plus a random addition of up to half of
// that, so that callers that were refused together do not retry together.
func addJitter(wait time.Duration) time.Duration {
	minWait := max(wait, minRetryAfter)
	return minWait + rand.N(minWait)/2
}

// Permit is a permit for one request. It is nil for a tenant without a limit.
type Permit struct {
	Decision
	limiter        *Limiter
	owner          members.Member
	releaseRequest GiveBackRequest
	once           sync.Once
}

// Release releases the permit of a request that was not executed. It does not wait for the
// owner. Only the first call has an effect. A call on a nil permit does nothing.
func (p *Permit) Release() {
	if p == nil {
		return
	}
	p.once.Do(func() {
		if p.owner.Process == p.limiter.directory.Self() {
			_ = p.limiter.issuer.GiveBack(p.releaseRequest, &GiveBackReply{}) // never fails
			return
		}
		go p.limiter.releasePermit(p.owner, p.releaseRequest)
	})
}

func (l *Limiter) releasePermit(owner members.Member, request GiveBackRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.peerClient.Call(ctx, owner.Process.Address, peer.ClassControl, methodGiveBack, request, &GiveBackReply{}); err != nil {
		l.metrics.countResult(resultNotReleased)
		l.log.Info("quota: releasing a permit failed; it may still count as issued.", zap.String("tenant", string(request.Tenant)),
			zap.String("keeper", string(owner.Process.Machine)), zap.String("cause", err.Error()))
	}
}

// isAvoided reports whether a call to the owner on the machine has failed during the last
// avoidDuration.
func (l *Limiter) isAvoided(machine identity.Machine) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	until, found := l.avoided[machine]
	if found && !l.now().Before(until) {
		delete(l.avoided, machine)
		return false
	}
	return found
}

func (l *Limiter) avoidOwner(owner members.Member, cause string) {
	machine := owner.Process.Machine
	l.directory.RecordMiss(owner)
	l.mutex.Lock()
	_, known := l.avoided[machine]
	l.avoided[machine] = l.now().Add(avoidDuration)
	l.mutex.Unlock()
	if !known {
		l.log.Info("quota: call to owner failed; asking it last.", zap.String("keeper", string(machine)), zap.Duration("for", avoidDuration), zap.String("cause", cause))
	}
}
