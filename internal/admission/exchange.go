package admission

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

// minReportedSpending is the lowest spending that is reported, in tokens. Lower sums are
// dropped.
const minReportedSpending = 1

// Programs implements load.ProgramSource. It returns this daemon's own figures and removes
// services that are neither declared nor used.
func (c *Controller) Programs() load.ProgramStats {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	report := load.ProgramStats{Services: map[load.Digest]load.ServiceStats{}, Spent: map[load.Digest]int64{}}
	declared := c.options.Services()
	for _, name := range declared {
		c.getOrCreateService(name)
	}
	for name, service := range c.services {
		if !slices.Contains(declared, name) && service.isUnused() {
			delete(c.services, name)
			continue
		}
		report.Services[load.DigestOf(name)] = service.buildReport(now, c.options.Members())
	}
	for key, spent := range c.spentByTenant {
		value := int64(spent.value(now, spendingHalfLife))
		if value < minReportedSpending {
			delete(c.spentByTenant, key)
			continue
		}
		report.Spent[key] = value
	}
	return report
}

// buildReport returns the service's figures and records the claim in s.claims. If there is no valid
// snapshot, the claim is at least the equal part of the bound, except in the first report.
func (s *service) buildReport(now time.Time, members int) load.ServiceStats {
	s.programs.removeEnded(now)
	s.meanHeld.add(float64(s.programs.heldTokens(now)))
	claim := Claim{At: now, Held: int64(s.meanHeld.value), Demand: int64(ratePerSecond(s.demand.value(now, demandHalfLife), demandHalfLife))}
	switch {
	case s.firstReported.IsZero():
		s.firstReported, s.part = now, float64(claim.Held)
	case now.Sub(s.snapshot.At) > maxSnapshotAge:
		claim.Held = max(claim.Held, s.equalPart(members))
	}
	s.claims.add(claim)
	const microseconds = 1e6
	return load.ServiceStats{
		Daemons: 1, Count: int64(len(s.programs.byName)), Held: s.programs.heldTokens(now), Claimed: claim.Held, Asked: claim.Demand,
		Turns: int64(s.turns.value(now, firstByteHalfLife) + 0.5), FirstByte: int64(s.firstByteSeconds.value(now, firstByteHalfLife) * microseconds),
	}
}

// equalPart returns the bound divided by the number of members, in tokens. It returns 0 if
// there is no bound.
func (s *service) equalPart(members int) int64 {
	bound := s.bound.Tokens(s.capacity)
	if math.IsInf(bound, 1) {
		return 0
	}
	return int64(bound / float64(max(members, 1)))
}

// maxLoggedTokens replaces larger values, and an infinite bound, in logs and errors.
const maxLoggedTokens = 1e12

func capTokens(tokens float64) int64 { return int64(min(tokens, maxLoggedTokens)) }

// UpdatePrograms implements load.ProgramSource.
func (c *Controller) UpdatePrograms(all, _ load.ProgramStats) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	c.fleetSpending = tenantSpending{byTenant: all.Spent}
	for _, spent := range all.Spent {
		c.fleetSpending.total += spent
	}
	for name, service := range c.services {
		service.update(all.Services[load.DigestOf(name)], c.options.Members(), now)
		c.logFill(service, now)
	}
	c.metrics.update(c.services, c.fleetSpending, now)
}

// isUnused reports whether the service has neither programs nor recent demand.
func (s *service) isUnused() bool {
	return len(s.programs.byName) == 0 && s.demand.sum < 1
}

// update computes the bound, the snapshot and the part from the sum of all daemons' reports.
func (s *service) update(all load.ServiceStats, members int, now time.Time) {
	elapsed := now.Sub(s.steppedAt)
	if s.steppedAt.IsZero() {
		elapsed = 0
	}
	s.steppedAt = now
	const microseconds = 1e6
	s.firstByteRatio = s.baseline.updateRatio(float64(all.Turns), float64(all.FirstByte)/microseconds, elapsed)
	s.bound = s.bound.Step(Observation{Elapsed: elapsed, Capacity: s.capacity, Held: float64(all.Held), FirstByteRatio: s.firstByteRatio})
	s.snapshot = Snapshot{At: now, Daemons: all.Daemons, Held: all.Held, Claimed: all.Claimed, Demand: all.Asked}
	s.part = s.partOf(s.bound.Tokens(s.capacity), members, now)
}

// The figures of a service are logged at most once per logInterval while at least the fraction
// logFillThreshold of its bound is in use.
const (
	logFillThreshold = 0.5
	logInterval      = 5 * time.Second
)

// logFill logs the figures of the service, for the fleet and for this daemon, if much of the bound
// is in use.
func (c *Controller) logFill(service *service, now time.Time) {
	bound := service.bound.Tokens(service.capacity)
	fill := service.fill(bound, now)
	if service.capacity.Engines == 0 || fill < logFillThreshold || now.Sub(service.loggedAt) < logInterval {
		return
	}
	service.loggedAt = now
	c.options.Log.Info("admission: at least half of the context bound is in use.", zap.String("service", service.name), zap.Int64("fleetHeld", service.snapshot.Held),
		zap.Int64("bound", capTokens(bound)), zap.Float64("fill", fill), zap.Float64("firstByteRatio", service.firstByteRatio),
		zap.Int64("held", service.programs.heldTokens(now)), zap.Int64("part", capTokens(service.part)), zap.Int("programs", len(service.programs.byName)),
		zap.Int64("daemons", service.snapshot.Daemons), zap.Int("engines", service.capacity.Engines))
}
