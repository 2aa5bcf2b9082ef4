package admission

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

// leastSpent is the least that is told, in tokens: below it a tenant's share is nothing.
const leastSpent = 1

// Programs implements load.ProgramSource: what this daemon tells of itself.
func (c *Controller) Programs() load.Programs {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	told := load.Programs{Services: map[load.Key]load.ServicePrograms{}, Spent: map[load.Key]int64{}}
	declared := c.options.Services()
	for _, name := range declared {
		c.service(name)
	}
	for name, service := range c.services {
		if !slices.Contains(declared, name) && service.unused() {
			delete(c.services, name)
			continue
		}
		told.Services[load.KeyOf(name)] = service.tell(now, c.options.Members())
	}
	for key, spent := range c.spent {
		value := int64(spent.value(now, spentFor))
		if value < leastSpent {
			delete(c.spent, key)
			continue
		}
		told.Spent[key] = value
	}
	return told
}

// tell gives the service's figures, and remembers what was claimed. A daemon that hears
// nothing claims the equal part that it goes on with.
func (s *service) tell(now time.Time, members int) load.ServicePrograms {
	s.programs.sweep(now)
	s.usualHeld.add(float64(s.programs.held(now)))
	claim := Claim{At: now, Held: int64(s.usualHeld.value), Asked: int64(perSecond(s.asked.value(now, askedFor), askedFor))}
	switch {
	case s.firstTold.IsZero():
		s.firstTold, s.part = now, float64(claim.Held)
	case now.Sub(s.picture.At) > partEnds:
		claim.Held = max(claim.Held, s.equalPart(members))
	}
	s.claims.add(claim)
	const microseconds = 1e6
	return load.ServicePrograms{
		Daemons: 1, Count: int64(len(s.programs.underWay)), Held: s.programs.held(now), Claimed: claim.Held, Asked: claim.Asked,
		Turns: int64(s.turns.value(now, shownFor) + 0.5), FirstByte: int64(s.firstByte.value(now, shownFor) * microseconds),
	}
}

// equalPart is what a daemon that hears nothing goes on with; 0 where nothing is bounded.
func (s *service) equalPart(members int) int64 {
	bound := s.bound.Tokens(s.room)
	if math.IsInf(bound, 1) {
		return 0
	}
	return int64(bound / float64(max(members, 1)))
}

// mostLogged stands for no bound at all.
const mostLogged = 1e12

func bounded(tokens float64) int64 { return int64(min(tokens, mostLogged)) }

// LearnPrograms implements load.ProgramSource.
func (c *Controller) LearnPrograms(all, _ load.Programs) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	c.fleet = spentByAll{byTenant: all.Spent}
	for _, spent := range all.Spent {
		c.fleet.total += spent
	}
	for name, service := range c.services {
		service.learn(all.Services[load.KeyOf(name)], c.options.Members(), now)
		c.noteFill(service, now)
	}
	c.metrics.learned(c.services, c.fleet, now)
}

// unused tells whether nothing of the service is under way or was asked lately.
func (s *service) unused() bool {
	return len(s.programs.underWay) == 0 && s.asked.sum < 1
}

// learn takes in the fleet's figures: the bound takes a step, and the part is worked out.
func (s *service) learn(all load.ServicePrograms, members int, now time.Time) {
	elapsed := now.Sub(s.steppedAt)
	if s.steppedAt.IsZero() {
		elapsed = 0
	}
	s.steppedAt = now
	const microseconds = 1e6
	s.ratio = s.idle.ratio(float64(all.Turns), float64(all.FirstByte)/microseconds, elapsed)
	s.bound = s.bound.Step(Observation{Elapsed: elapsed, Room: s.room, Held: float64(all.Held), Ratio: s.ratio})
	s.picture = Picture{At: now, Daemons: all.Daemons, Held: all.Held, Claimed: all.Claimed, Asked: all.Asked}
	s.part = s.partOf(s.bound.Tokens(s.room), members, now)
}

// fillNoted is the share of the bound from which the fleet's figures are logged, once in
// noteInterval.
const (
	fillNoted    = 0.5
	noteInterval = 5 * time.Second
)

// noteFill logs what this daemon knows of a fleet whose room gets short.
func (c *Controller) noteFill(service *service, now time.Time) {
	bound := service.bound.Tokens(service.room)
	fill := service.fill(bound, now)
	if service.room.Engines == 0 || fill < fillNoted || now.Sub(service.loggedAt) < noteInterval {
		return
	}
	service.loggedAt = now
	c.options.Log.Info("admission: room is short.", zap.String("service", service.name), zap.Int64("fleetHeld", service.picture.Held),
		zap.Int64("bound", bounded(bound)), zap.Float64("fill", fill), zap.Float64("firstByteRatio", service.ratio),
		zap.Int64("held", service.programs.held(now)), zap.Int64("part", bounded(service.part)), zap.Int("programs", len(service.programs.underWay)),
		zap.Int64("daemons", service.picture.Daemons), zap.Int("engines", service.room.Engines))
}
