package admission

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// Times that limit the age of the figures from which a part is computed.
const (
	// maxSnapshotAge is how long a snapshot is valid. It is one and a half report intervals.
	maxSnapshotAge = 150 * time.Millisecond
	// claimWindow is the age of the oldest report that a valid snapshot may contain.
	claimWindow = load.MaxProgramStatsAge + maxSnapshotAge
)

// evenFraction is the fraction of the free tokens that is divided equally among the daemons.
// The rest is divided in proportion to their demand. With a quarter, a daemon without demand
// can still start one program if there are at most twice as many daemons as engines, and an
// engine holds about ten programs.
const evenFraction = 0.25

// Claim is what a daemon reported about itself at a certain time.
type Claim struct {
	At     time.Time
	Held   int64 // tokens that the daemon holds, or that it may hold if that is more
	Demand int64 // tokens requested per second by new programs
}

// Snapshot is a daemon's latest snapshot of the fleet: the sums of all daemons' reports, in
// tokens.
type Snapshot struct {
	At      time.Time // when it arrived; zero: no snapshot yet
	Daemons int64     // number of daemons in the sums
	Held    int64     // sum of the contexts
	Claimed int64     // sum of the claims
	Demand  int64     // sum of the tokens per second that new programs request
}

// age returns how long ago the snapshot arrived, or 0 if there is none.
func (s Snapshot) age(now time.Time) time.Duration {
	if s.At.IsZero() {
		return 0
	}
	return now.Sub(s.At)
}

// PartInputs holds the inputs of Part.
type PartInputs struct {
	Bound    float64 // bound of the fleet, in tokens
	Members  int     // number of all daemons
	Snapshot Snapshot
	MinClaim Claim // lowest values of this daemon's claims, as returned by claims.minimum
	// LastPart is the daemon's part, in tokens, when its last snapshot arrived. Before the first
	// snapshot, it is what the daemon held at its first report.
	LastPart float64
	// FirstReportAt is the time of the daemon's first report; zero: none yet.
	FirstReportAt time.Time
	Now           time.Time
}

// Part returns how many tokens of contexts a daemon may hold when it starts a program.
//
// With a valid snapshot, a part is the sum of two amounts. The first is the lowest claim of the
// daemon that was current at any time within claimWindow. The second is a fraction of the tokens
// that no daemon claims according to the snapshot. If there are no such tokens, the part is the
// first amount alone, reduced in proportion if the claims exceed the bound.
//
// All claims in a valid snapshot were current within claimWindow, so their sum is at least the sum
// of the first amounts of the daemons in it. The fractions of all daemons sum to at most one.
// Therefore the parts of all daemons sum to at most the bound, even if their snapshots differ.
//
// If a snapshot covers only some of the members, these daemons divide only the corresponding
// fraction of the bound. During a network partition, no tokens are therefore assigned on
// both sides.
//
// A daemon without a valid snapshot uses an equal part. If it has reported before, that part is at
// first limited to its last one (see isolatedPart). From its second report on, the daemon claims at
// least the equal part.
func Part(share PartInputs) float64 {
	members := max(float64(share.Members), float64(share.Snapshot.Daemons), 1)
	if share.isIsolated() {
		return share.isolatedPart(share.Bound / members)
	}
	snapshot := share.Snapshot
	available := share.Bound * float64(snapshot.Daemons) / members
	held, minClaim := float64(snapshot.Claimed), float64(min(share.MinClaim.Held, snapshot.Claimed))
	if held >= available {
		return minClaim * available / max(held, 1)
	}
	demandFraction := 1 / float64(snapshot.Daemons)
	if snapshot.Demand > 0 {
		demandFraction = min(float64(share.MinClaim.Demand)/float64(snapshot.Demand), 1)
	}
	return minClaim + (evenFraction/float64(snapshot.Daemons)+(1-evenFraction)*demandFraction)*(available-held)
}

// isIsolated reports whether the daemon has no valid snapshot.
func (p PartInputs) isIsolated() bool {
	return p.Snapshot.At.IsZero() || p.Snapshot.Daemons <= 0 || p.Now.Sub(p.Snapshot.At) > maxSnapshotAge
}

// isolatedPart returns the part of a daemon without a valid snapshot, given the equal part. While
// the snapshots of other daemons may still contain its earlier claims, the part is at most its
// last one. A daemon that has not reported yet is in no snapshot. The other daemons therefore
// leave the equal part to it.
func (p PartInputs) isolatedPart(equal float64) float64 {
	if p.FirstReportAt.IsZero() {
		return equal
	}
	since := p.FirstReportAt
	if snapshotEnd := p.Snapshot.At.Add(maxSnapshotAge); snapshotEnd.After(since) {
		since = snapshotEnd
	}
	if p.Now.Sub(since) < claimWindow {
		return min(equal, p.LastPart)
	}
	return equal
}

// claims holds the recent claims of a daemon, oldest first.
type claims struct{ history []Claim }

func (c *claims) add(claim Claim) { c.history = append(c.history, claim) }

// minimum returns the lowest value of each figure among the claims within claimWindow, including
// the claim that was current at its start. It returns zeros if the daemon has reported for less
// than claimWindow, because some snapshots may not include the daemon yet.
func (c *claims) minimum(now time.Time) Claim {
	windowStart := now.Add(-claimWindow)
	for len(c.history) > 1 && !c.history[1].At.After(windowStart) {
		c.history = c.history[1:]
	}
	if len(c.history) == 0 || c.history[0].At.After(windowStart) {
		return Claim{At: now}
	}
	lowest := c.history[0]
	for _, claim := range c.history[1:] {
		lowest.Held = min(lowest.Held, claim.Held)
		lowest.Demand = min(lowest.Demand, claim.Demand)
	}
	return lowest
}
