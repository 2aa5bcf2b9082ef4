package scheduling

import "time"

// PauseEstimate is what is known about a pause of a program, such as a tool
// call, when it begins.
type PauseEstimate struct {
	Mean        time.Duration // mean length of pauses of this kind; zero: unknown
	ReuseChance float64       // probability that the program continues after the pause, 0 to 1
}

// CachePrice describes the demand for memory in an engine's prefix cache.
type CachePrice struct {
	// HitsPerToken is the average number of hits per second of a cached token.
	// It measures the benefit of using the same memory for other prefixes.
	HitsPerToken float64
	// Pressure is the share of the cache in use, 0 to 1.
	Pressure float64
}

const (
	lomaxShape       = 2.0 // shape of the Lomax distribution of pause lengths
	maxHoldInMeans   = 4.0 // a prefix is not held for longer than this multiple of the mean pause
	defaultPauseMean = 5 * time.Second
	minHoldTokens    = 512 // shorter prefixes are cheaper to recompute than to hold
)

// LeaseDuration returns how long a program's prefix of the given length in tokens
// should be retained in the cache during a pause. The result is at most the given
// limit and at most maxHoldInMeans times the mean pause. It is zero if the prefix
// is shorter than minHoldTokens or not worth holding, and if the cache has free space,
// since nothing is evicted then.
//
// Pause lengths are assumed to follow a Lomax distribution, which has a long
// tail: the longer a pause has lasted, the less likely it ends in the next
// second. If the program continues after the pause, the probability per second
// that the pause ends is lomaxShape/(mean+elapsed). Holding the prefix is worth
// it while this, times ReuseChance, exceeds HitsPerToken, the rate at which other
// prefixes in the same memory are hit.
func LeaseDuration(tokens int64, pause PauseEstimate, price CachePrice, limit time.Duration) time.Duration {
	if tokens < minHoldTokens || pause.ReuseChance <= 0 || price.Pressure < evictionThreshold {
		return 0
	}
	mean := pause.Mean
	if mean <= 0 {
		mean = defaultPauseMean
	}
	maxHold := min(secondsToDuration(maxHoldInMeans*mean.Seconds()), limit)
	if price.HitsPerToken <= 0 {
		return maxHold // other prefixes get no hits
	}
	payingTime := secondsToDuration(lomaxShape * min(pause.ReuseChance, 1) / price.HitsPerToken)
	return min(max(payingTime-mean, 0), maxHold)
}
