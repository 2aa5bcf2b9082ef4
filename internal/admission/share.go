package admission

import "time"

// Parameters for the order in which programs may start while capacity is scarce.
const (
	// contentionFill is the fill from which priorities and shares count. It has to be low
	// enough for urgent programs to be served first when the load of others grows.
	contentionFill = 0.5
	// maxFairShare is the share above which a tenant is limited. It is above 1 because the
	// tenants' spending fluctuates even if they ask for the same.
	maxFairShare = 1.25
	// minShareFraction is the lowest factor that a tenant's share may apply to its fraction of
	// the bound.
	minShareFraction = 0.25
	// starvedShare is the share below which a tenant may use the whole bound.
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
	// Late is set if the program can no longer meet its deadline.
	Late bool
}

// Reach returns the fraction of the bound up to which the claimant may start a program, and
// the cause to give if it is refused. fill is the fraction of the bound in use.
//
// A program that can no longer meet its deadline gets lateFraction. Other programs may use the
// whole bound while fill is below contentionFill, or if their tenant is below starvedShare.
// Otherwise each priority level below the highest reduces the fraction by reservePerPriority,
// and a share above maxFairShare reduces it in inverse proportion to the share, by a factor of
// at least minShareFraction.
func Reach(claimant Claimant, fill float64) (float64, Cause) {
	if claimant.Late {
		return lateFraction, CauseLate
	}
	if fill < contentionFill || claimant.Share < starvedShare {
		return 1, CauseFull
	}
	fraction, cause := 1.0, CauseFull
	if claimant.Priority > 0 {
		fraction, cause = 1-min(reservePerPriority*float64(claimant.Priority), maxPriorityReserve), CauseUrgent
	}
	if claimant.Share > maxFairShare {
		fraction, cause = fraction*max(maxFairShare/claimant.Share, minShareFraction), CauseShare
	}
	return fraction, cause
}

// Limits of the wait that refused callers are told.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// defaultProgramDuration is the assumed duration of a program before any has ended.
	defaultProgramDuration = time.Second
)

// ComeBack returns a random wait before a refused caller should try again. The waits spread
// the callers over the time that it takes to serve the demand. demandPerSecond is in tokens
// per second, bound is the number of available tokens, and random is from 0 to 1. If the demand
// during the mean duration of a program is n times the bound, serving it takes n such
// durations.
func ComeBack(demandPerSecond, bound float64, meanDuration time.Duration, random float64) time.Duration {
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
