package admission

import "time"

// Who goes first where room is short.
const (
	// shortFrom is the part of the bound that is taken from which room is short: below it
	// nobody is held back. At a half, the more urgent of two kinds of programs is served as
	// well as before when the other kind comes at 2.6 times its usual rate; at 0.85 it is
	// served less than the kind that grew (simulation in this package).
	shortFrom = 0.5
	// aheadShare is how far over the mean of the tenants one is ahead: what each spends
	// within spentFor swings by some tenths without any difference in what is asked.
	aheadShare = 1.25
	// leastOfShare bounds how far a tenant is held back.
	leastOfShare = 0.25
	// starvedShare is the part of the mean below which a tenant goes before all others.
	starvedShare = 0.25
	// keptBack of the bound is kept from each further step of priority, for more urgent
	// requests; mostKeptBack bounds it, so that the least urgent are served as well.
	keptBack     = 0.1
	mostKeptBack = 0.2
	// lateOf is the part of the bound that may be taken when a program begins that can't end
	// in its time any more.
	lateOf = 0.5
)

// Claimant is who asks for a program to begin.
type Claimant struct {
	Priority int // 0 is the highest
	// Share is what the tenant spent lately against the mean of the tenants; 0: it spent
	// nothing; 1 where there are no tenants.
	Share float64
	// Late tells that the program can't end in its time any more.
	Late bool
}

// Reach is the part of the bound up to which the claimant may begin a program, and what
// holds it back; fill is how much of the bound is taken. What tenants spent are virtual
// counters: who is ahead of the mean gets as much less of the bound, until the others have
// caught up.
func Reach(claimant Claimant, fill float64) (float64, Cause) {
	if claimant.Late {
		return lateOf, CauseLate
	}
	if fill < shortFrom || claimant.Share < starvedShare {
		return 1, CauseFull
	}
	reach, cause := 1.0, CauseFull
	if claimant.Priority > 0 {
		reach, cause = 1-min(keptBack*float64(claimant.Priority), mostKeptBack), CauseUrgent
	}
	if claimant.Share > aheadShare {
		reach, cause = reach*max(aheadShare/claimant.Share, leastOfShare), CauseShare
	}
	return reach, cause
}

// When refused callers come back.
const (
	soonestBack = 100 * time.Millisecond
	latestBack  = 4 * time.Second
	// usualProgram is taken for the time of a program before one has ended.
	usualProgram = time.Second
)

// ComeBack spreads refused callers over the time in which there will be room for them: what
// is asked within the time of a program needs as many such times as it has bounds.
func ComeBack(asked, bound float64, usual time.Duration, random float64) time.Duration {
	if usual <= 0 {
		usual = usualProgram
	}
	needed := usual
	if bound > 0 {
		needed = time.Duration(asked * usual.Seconds() / bound * float64(usual))
	}
	span := min(max(needed, 2*soonestBack), latestBack)
	return soonestBack + time.Duration(random*float64(span-soonestBack))
}
