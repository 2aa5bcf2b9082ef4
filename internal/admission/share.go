package admission

import "time"

// Parameters of AllowedFraction.
const (
	// contentionFill is the fraction of the bound in use from which on priorities and shares
	// limit programs. It is low enough to serve high-priority programs first when the load of
	// other programs grows: at 0.85 they were served less than a kind that had grown 2.6 times.
	contentionFill = 0.5
	// maxFairShare is the share above which a tenant is limited. It is above 1 because the
	// tenants' spending fluctuates even if their demand is the same.
	maxFairShare = 1.25
	// minShareFraction is the lowest factor by which AllowedFraction multiplies the fraction of the
	// bound for a tenant above maxFairShare.
	minShareFraction = 0.25
	// starvedShare is the share below which a tenant may use the whole bound at any priority.
	starvedShare = 0.25
	// reservePerPriority is the fraction of the bound that each priority level leaves to the
	// next higher one. maxPriorityReserve limits the sum, so that the lowest priority is
	// served, too.
	reservePerPriority = 0.1
	maxPriorityReserve = 0.2
	// lateFraction is the fraction of the bound that a program may use if it can no longer
	// meet its deadline.
	lateFraction = 0.5
)

// Claimant describes a program that is to start.
type Claimant struct {
	Priority int // 0 is the highest
	// Share is the tenant's recent spending relative to the mean of all tenants. It is 0 if
	// the tenant has spent nothing, and 1 without tenants.
	Share float64
	// MissesDeadline is set if the program can no longer meet its deadline.
	MissesDeadline bool
}

// AllowedFraction returns the fraction of the bound up to which the claimant may start a program,
// and the cause to give if it is refused. fill is the fraction of the bound in use.
//
// A program that can no longer meet its deadline gets lateFraction. Other programs may use the
// whole bound while fill is below contentionFill, or if their tenant is below starvedShare.
// Otherwise each priority level below the highest reduces the fraction by reservePerPriority, by
// maxPriorityReserve at most. For a share above maxFairShare, the fraction is then multiplied by
// maxFairShare/share, but not by less than minShareFraction.
func AllowedFraction(claimant Claimant, fill float64) (float64, Cause) {
	if claimant.MissesDeadline {
		return lateFraction, CauseLate
	}
	if fill < contentionFill || claimant.Share < starvedShare {
		return 1, CauseFull
	}
	fraction, cause := 1.0, CauseFull
	if claimant.Priority > 0 {
		fraction, cause = 1-min(reservePerPriority*float64(claimant.Priority), maxPriorityReserve), CausePriority
	}
	if claimant.Share > maxFairShare {
		fraction, cause = fraction*max(maxFairShare/claimant.Share, minShareFraction), CauseShare
	}
	return fraction, cause
}

// Parameters of RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// defaultProgramDuration is the assumed duration of a program before any has ended.
	defaultProgramDuration = time.Second
)

// RetryAfter returns a random wait before a refused caller should try again. The waits spread the
// callers from minRetryAfter to the time that it takes to serve the demand. This time is limited to
// the range from twice minRetryAfter to maxRetryAfter. If the demand during the mean duration of a
// program is n times the bound, serving this demand takes n such durations. If the bound is 0, one
// such duration is assumed.
//
// demandPerSecond is in tokens per second, and bound is the number of available tokens. If
// meanDuration is 0, defaultProgramDuration is used. random, from 0 to 1, selects the wait.
func RetryAfter(demandPerSecond, bound float64, meanDuration time.Duration, random float64) time.Duration {
	if meanDuration <= 0 {
		meanDuration = defaultProgramDuration
	}
	serveTime := meanDuration
	if bound > 0 {
		serveTime = time.Duration(demandPerSecond * meanDuration.Seconds() / bound * float64(meanDuration))
	}
	maxWait := min(max(serveTime, 2*minRetryAfter), maxRetryAfter)
	return minRetryAfter + time.Duration(random*float64(maxWait-minRetryAfter))
}
