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

// Bounds of what is asked of keepers.
const (
	// askWait bounds one call: a keeper answers within some 3 ms, on a machine that is
	// slow or under load within some tens.
	askWait = 150 * time.Millisecond
	// hedgeAfter is when the next part is asked beside one that has not answered. It bounds
	// what a lost keeper costs a request, and is ten times a usual answer.
	hedgeAfter = 30 * time.Millisecond
	// avoidFor is how long a keeper that did not answer is asked last.
	avoidFor = 500 * time.Millisecond
	// giveBackWait bounds the call that gives a place back.
	giveBackWait = time.Second
	// soonestRoom is the least time after which a refused caller comes back.
	soonestRoom = 100 * time.Millisecond
	// emptyKept is how many parts are remembered as empty: those of all tenants that are
	// at their limit at once.
	emptyKept = 4096
)

// Directory tells who keeps what; *members.List implements it.
type Directory interface {
	Keeper(owner string, part int) (members.Member, bool)
	// Silent tells whether a member's zone is silent; Missed and Answered tell how a call of it ended.
	Silent(member members.Member) bool
	Missed(member members.Member)
	Answered(member members.Member)
	Self() identity.Process
}

// Limiter takes places for the requests of one daemon. It is safe for concurrent use.
type Limiter struct {
	settings  Settings
	keeper    *Keeper // this daemon's own parts
	directory Directory
	caller    peer.Caller
	now       func() time.Time
	log       *zap.Logger
	empty     *lru.Cache[emptyKey, time.Time] // until when a part has certainly no place

	mutex   sync.Mutex
	avoided map[identity.Machine]time.Time
	metrics metrics
}

type emptyKey struct {
	part     partKey
	underWay bool
	revision uint64
}

// Options are what a Limiter is made of.
type Options struct {
	Settings  Settings
	Keeper    *Keeper
	Directory Directory
	Caller    peer.Caller
	Now       func() time.Time
	Log       *zap.Logger
}

// NewLimiter makes a limiter.
func NewLimiter(options Options) *Limiter {
	empty, err := lru.New[emptyKey, time.Time](emptyKept)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Limiter{
		settings: options.Settings, keeper: options.Keeper, directory: options.Directory, caller: options.Caller, now: options.Now, log: options.Log,
		empty: empty, avoided: map[identity.Machine]time.Time{},
	}
}

// Take gives the request its place; *ExceededError and *UnreachedError say that there
// is none. Without a limit there is nothing to take, and nil is returned.
func (l *Limiter) Take(ctx context.Context, request Request) (*Taken, error) {
	if !request.Quota.Limited() {
		return nil, nil
	}
	started := l.now()
	asking := newAsking(l, request)
	taken := asking.run(ctx)
	asking.decision.Took = l.now().Sub(started)
	if taken != nil {
		taken.Decision = asking.decision
		l.metrics.ended(resultTaken)
		return taken, nil
	}
	if asking.back == never {
		l.metrics.ended(resultUnreached)
		return nil, &UnreachedError{Decision: asking.decision, Tenant: request.Tenant}
	}
	l.metrics.ended(resultRefused)
	return nil, &ExceededError{
		Decision: asking.decision, Tenant: request.Tenant, Allowed: int(l.settings.limit(request.Quota)), After: spread(asking.back),
	}
}

// spread lets callers that were refused together come back apart.
func spread(back time.Duration) time.Duration {
	least := max(back, soonestRoom)
	return least + rand.N(least)/2
}

// Taken is a place in a tenant's quota; nil where there is no limit.
type Taken struct {
	Decision
	limiter *Limiter
	keeper  members.Member
	place   GiveBackRequest
	once    sync.Once
}

// Return gives the place back: the request was not run. Only the first call counts; it
// does not wait for the keeper.
func (t *Taken) Return() {
	if t == nil {
		return
	}
	t.once.Do(func() {
		if t.keeper.Process == t.limiter.directory.Self() {
			_ = t.limiter.keeper.GiveBack(t.place, &GiveBackReply{}) // never fails
			return
		}
		go t.limiter.giveBack(t.keeper, t.place)
	})
}

func (l *Limiter) giveBack(keeper members.Member, place GiveBackRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), giveBackWait)
	defer cancel()
	if err := l.caller.Call(ctx, keeper.Process.Address, peer.Control, methodGiveBack, place, &GiveBackReply{}); err != nil {
		l.metrics.ended(resultNotGivenBack)
		l.log.Info("quota: place not given back; it counts as taken.", zap.String("tenant", string(place.Tenant)),
			zap.String("keeper", string(keeper.Process.Machine)), zap.String("cause", err.Error()))
	}
}

// isAvoided tells whether a keeper did not answer lately.
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

func (l *Limiter) avoid(keeper members.Member, cause string) {
	machine := keeper.Process.Machine
	l.directory.Missed(keeper)
	l.mutex.Lock()
	_, known := l.avoided[machine]
	l.avoided[machine] = l.now().Add(avoidFor)
	l.mutex.Unlock()
	if !known {
		l.log.Info("quota: keeper asked last.", zap.String("keeper", string(machine)), zap.Duration("for", avoidFor), zap.String("cause", cause))
	}
}
