package admission

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

// Options are the dependencies of a Controller.
type Options struct {
	// Members returns the number of daemons that share the bound.
	Members func() int
	// Services returns the names of the declared model services. A daemon reports on all of
	// them from its start, even without requests, so that it counts among the daemons that
	// share the bound.
	Services func() []string
	Now      func() time.Time
	Log      *zap.Logger
}

// Controller makes the admission decisions of one daemon. It is safe for concurrent use.
type Controller struct {
	options Options
	metrics metrics

	mutex         sync.Mutex
	services      map[string]*service
	spentByTenant map[load.Digest]*decayingSum // tokens spent at this daemon
	fleetSpending tenantSpending
}

// NewController returns a controller that has no programs and no reports of other daemons.
func NewController(options Options) *Controller {
	return &Controller{options: options, services: map[string]*service{}, spentByTenant: map[load.Digest]*decayingSum{}}
}

// service is the state of one model service.
type service struct {
	name           string
	programs       programs
	capacity       Capacity // capacity of the engines, as of the last request
	bound          Bound
	baseline       idleBaseline
	firstByteRatio float64 // mean time to first byte relative to baseline, by the last snapshot
	claims         claims
	meanHeld       runningMean // mean of the tokens held; reported as the claim because it fluctuates less than the current value
	snapshot       Snapshot
	part           float64 // this daemon's part of the bound when the snapshot arrived, in tokens
	// firstReported is the time of the first report, steppedAt that of the last step of the
	// bound, and loggedAt that of the last log line.
	firstReported, steppedAt, loggedAt time.Time

	demand           decayingSum // context tokens requested by new programs
	turns            decayingSum // number of turns other than first ones
	firstByteSeconds decayingSum // sum of the times to first byte of these turns
}

// getOrCreateService returns the service with the name, and adds the service if it is not known
// yet.
func (c *Controller) getOrCreateService(name string) *service {
	entry, found := c.services[name]
	if !found {
		entry = &service{name: name, programs: newPrograms()}
		c.services[name] = entry
	}
	return entry
}

// updateCapacity stores the current capacity. If the daemon has already reported and the previous
// capacity had no engines, updateCapacity sets firstReported to now, because the earlier claims did
// not allow for the engines.
func (s *service) updateCapacity(capacity Capacity, now time.Time) {
	if s.capacity.Engines == 0 && !s.firstReported.IsZero() {
		s.firstReported = now
	}
	s.capacity = capacity
}

// Admit decides whether a program may start, and counts the program and its first turn. It returns
// a *RefusedError if the program may not start. A program that already runs at this daemon is
// never refused. After a successful call the caller must call EndTurn or CancelFirstTurn when the
// turn has ended. If there is no engine, Admit refuses nothing and leaves the error to placement.
func (c *Controller) Admit(request *Request) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	service := c.getOrCreateService(request.Service)
	service.updateCapacity(request.Capacity, now)
	if _, underWay := service.programs.byName[request.Program]; underWay {
		service.programs.startRequest(request, now)
		return nil
	}
	service.programs.removeEnded(now)
	expected := service.programs.expectedTokens(request)
	service.demand.add(float64(expected), now, demandHalfLife)
	if refused := c.decide(service, request, expected, now); refused != nil {
		service.programs.recordRefusal(request, now)
		c.metrics.countRefusal(refused.Cause, request.Priority)
		return refused
	}
	service.programs.add(request, now)
	service.programs.startRequest(request, now)
	return nil
}

// ContinueTurn counts a later turn of a program that started at this or another daemon. The caller
// must call EndTurn when the turn has ended.
func (c *Controller) ContinueTurn(request *Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	service := c.getOrCreateService(request.Service)
	service.updateCapacity(request.Capacity, now)
	if _, underWay := service.programs.byName[request.Program]; !underWay {
		service.programs.add(request, now)
	}
	service.programs.startRequest(request, now)
}

// decide returns nil if the program may start, and otherwise the refusal. The caller must hold the
// lock.
func (c *Controller) decide(service *service, request *Request, expected int64, now time.Time) *RefusedError {
	if request.Capacity.Engines == 0 {
		return nil
	}
	claimant := Claimant{Priority: request.Priority, Share: c.fleetSpending.shareOf(request.Tenant), MissesDeadline: service.programs.isLate(request, now)}
	bound := service.bound.Tokens(request.Capacity)
	fraction, cause := AllowedFraction(claimant, service.fill(bound, now))
	part := service.partOf(bound*fraction, c.options.Members(), now)
	held := service.programs.heldTokens(now)
	if float64(held+expected) <= part {
		return nil
	}
	demandPerSecond := ratePerSecond(service.demand.value(now, demandHalfLife), demandHalfLife)
	return &RefusedError{
		Cause: cause, RetryAfter: RetryAfter(demandPerSecond, part, service.meanDuration(request.Route), request.Random),
		Figures: Figures{
			ExpectedTokens: expected, Held: held, Part: capTokens(part), FleetHeld: service.snapshot.Held, Bound: capTokens(bound),
			Daemons: service.snapshot.Daemons, SnapshotAge: service.snapshot.age(now), Share: claimant.Share,
		},
	}
}

// meanDuration returns the mean duration of the programs of a route, or 0 if none has ended.
func (s *service) meanDuration(route string) time.Duration {
	return time.Duration(s.programs.getOrCreateStats(route).durationSeconds.value * float64(time.Second))
}

// fill returns the fraction of the bound that is in use, as far as this daemon knows.
func (s *service) fill(bound float64, now time.Time) float64 {
	return float64(max(s.snapshot.Held, s.programs.heldTokens(now))) / max(bound, 1)
}

// partOf returns this daemon's part of the given bound, in tokens.
func (s *service) partOf(bound float64, members int, now time.Time) float64 {
	return Part(PartInputs{Bound: bound, Members: members, Snapshot: s.snapshot, MinClaim: s.claims.minimum(now), LastPart: s.part, FirstReportAt: s.firstReported, Now: now})
}

// EndTurn records the end of a turn. spent is its cost to the engine, in tokens.
func (c *Controller) EndTurn(request *Request, spent int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	c.getOrCreateService(request.Service).programs.endRequest(request.Program, now)
	if request.Tenant == "" || spent <= 0 {
		return
	}
	key := load.DigestOf(request.Tenant)
	if c.spentByTenant[key] == nil {
		c.spentByTenant[key] = &decayingSum{}
	}
	c.spentByTenant[key].add(float64(spent), now, spendingHalfLife)
}

// CancelFirstTurn removes a first turn that no engine started to run. It also removes the program
// if no other request of it is active.
func (c *Controller) CancelFirstTurn(request *Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	programs := &c.getOrCreateService(request.Service).programs
	programs.endRequest(request.Program, c.options.Now())
	programs.removeIdle(request.Program)
}

// RecordFirstByte records the time to first byte of a turn that is not the first of its program.
func (c *Controller) RecordFirstByte(service string, firstByte time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	entry := c.getOrCreateService(service)
	entry.turns.add(1, now, firstByteHalfLife)
	entry.firstByteSeconds.add(firstByte.Seconds(), now, firstByteHalfLife)
}
