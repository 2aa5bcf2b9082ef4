package backend

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// speedBaseline summarizes the speeds of a service's instances, as observed by all daemons. An
// instance counts as fast if its speed is near or above the mean speed of the faster instances
// (see computeSpeedBaseline).
type speedBaseline struct {
	fastMean     float64 // mean speed of the fast instances in events per second; 0 if unknown
	mean         float64 // mean speed of all instances in events per second
	priorEvents  float64 // events added to each instance at the mean speed; see priorAnswers
	answerTimeMs float64 // mean time of an answer at a fast instance, in milliseconds
	// preferFastShare is the share of the programs that prefer fast instances, from 0 to 1.
	preferFastShare float64
}

const (
	// minAnswers is the number of answers, after decay, below which the speed of an instance
	// counts as unknown in the baseline and in the metrics.
	minAnswers = 3.0
	// minUpperSpeedRatio is the smallest ratio to the mean speed of all instances at which an
	// instance counts as above the mean (see computeSpeedBaseline). It is just below 1 so that
	// rounding does not separate equal speeds.
	minUpperSpeedRatio = 0.99
	// minFastSpeedRatio is the smallest ratio to the mean speed of the instances above the mean
	// at which an instance counts as fast.
	minFastSpeedRatio = 0.75
	// maxPreferFastUtilization is the highest utilization of the fast instances that
	// preferFastShare aims at, and the utilization of all instances above which it reduces the
	// share. A half-full batch is hardly slowed down by one more request, and the other half is
	// left for requests that other daemons send before their reports arrive.
	maxPreferFastUtilization = 0.5
	// priorAnswers is the weight, in answers, of the assumption that an instance has the mean
	// speed. It limits the effect of a single late answer, and lets instances without recent
	// requests be tried again.
	priorAnswers = 8.0
	// minEqualSpeedRatio is the smallest ratio to speedBaseline.fastMean at which an instance is
	// treated as equal to the fast ones. Short disturbances change a speed by about a third for
	// seconds; with a higher limit all daemons would react to them together. On a fleet that was
	// equal apart from such disturbances, 0.67 raised the 99th percentile of a turn by a tenth.
	minEqualSpeedRatio = 0.6
	// maxExactSpeedRatio is the largest ratio to speedBaseline.fastMean that is used unchanged.
	// Higher ratios below minEqualSpeedRatio are raised (see adjustSpeedRatio).
	maxExactSpeedRatio = 0.35
	// minSpeedRatio is the smallest ratio to speedBaseline.fastMean that is used; smaller ones
	// are raised to it. An engine that seems even slower is probably faulty.
	minSpeedRatio         = 1.0 / 32
	millisecondsPerSecond = 1000
)

// speedSum adds up the speeds of instances, with equal weight for each instance, and their work.
type speedSum struct {
	sum   float64 // events per second
	count int
	work  work // total work of these instances
}

func (s speedSum) mean() float64 { return s.sum / float64(s.count) }

// sumSpeeds adds up the speeds and the work of the instances that have at least minAnswers
// answers and minSpeed events per second.
func sumSpeeds(instances []*Instance, now time.Time, minSpeed float64) speedSum {
	var total speedSum
	for _, instance := range instances {
		observed := instance.speed.current(now)
		if observed.answers < minAnswers || observed.speed() < minSpeed {
			continue
		}
		total.sum += observed.speed()
		total.count++
		total.work = total.work.plus(observed)
	}
	return total
}

// computeSpeedBaseline returns the baseline of the instances. It finds the fast instances in
// three steps: it computes the mean of all speeds, then the mean of the speeds above that, and
// then takes all instances with at least minFastSpeedRatio of the second mean. The result is
// zero if no speed is known or speeds are disabled.
func computeSpeedBaseline(instances []*Instance, request *PlacementRequest) speedBaseline {
	if request.DisabledMechanisms.Has(mechanism.EngineSpeeds) {
		return speedBaseline{}
	}
	all := sumSpeeds(instances, request.Now, 0)
	if all.count == 0 {
		return speedBaseline{}
	}
	upper := sumSpeeds(instances, request.Now, minUpperSpeedRatio*all.mean())
	minFastSpeed := minFastSpeedRatio * upper.mean()
	fast := sumSpeeds(instances, request.Now, minFastSpeed)
	return speedBaseline{
		fastMean:        fast.mean(),
		mean:            all.mean(),
		priorEvents:     priorAnswers * all.work.events / all.work.answers,
		answerTimeMs:    millisecondsPerSecond * fast.work.seconds / fast.work.answers,
		preferFastShare: measureCapacity(instances, request, all.mean(), minFastSpeed).preferFastShare(),
	}
}

// capacity holds speeds summed over the slots of a service's instances, in events per second.
type capacity struct {
	used  float64 // by the requests in flight
	total float64 // with all slots of all instances taken
	fast  float64 // with all slots of the fast instances taken
}

func measureCapacity(instances []*Instance, request *PlacementRequest, defaultSpeed, minFastSpeed float64) capacity {
	var result capacity
	for _, instance := range instances {
		speed := defaultSpeed
		if observed := instance.speed.current(request.Now); observed.answers >= minAnswers {
			speed = observed.speed()
		}
		slots := SlotsOf(instance, request)
		result.used += speed * float64(min(instance.Load(request.Now), slots))
		result.total += speed * float64(slots)
		if speed >= minFastSpeed {
			result.fast += speed * float64(slots)
		}
	}
	return result
}

// preferFastShare returns the share of the programs that are to prefer fast instances: as many
// as the fast instances have capacity for. The share falls to 0 as the fleet fills up; in a full
// fleet speeds have no effect on placement. The used capacity depends little on which instances
// do the work, so that the share is stable and daemons do not oscillate.
func (c capacity) preferFastShare() float64 {
	if c.used <= 0 {
		return 1
	}
	share := min(maxPreferFastUtilization*c.fast/c.used, 1)
	idleFactor := (1 - c.used/c.total) / (1 - maxPreferFastUtilization)
	return share * min(idleFactor, 1)
}

// speedRatio returns the instance's speed relative to the fast ones, from minSpeedRatio to 1. It
// adds priorEvents at the mean speed to the observed work (see priorAnswers). It returns 1 if no
// speed of the service is known.
func (b speedBaseline) speedRatio(instance *Instance, now time.Time) float64 {
	if b.fastMean == 0 {
		return 1
	}
	observed := instance.speed.current(now)
	ratio := (observed.events + b.priorEvents) / (observed.seconds + b.priorEvents/b.mean) / b.fastMean
	return adjustSpeedRatio(max(ratio, minSpeedRatio))
}

// adjustSpeedRatio returns 1 for ratios of at least minEqualSpeedRatio, and the ratio itself up
// to maxExactSpeedRatio. Between these the result increases linearly to 1.
func adjustSpeedRatio(ratio float64) float64 {
	switch {
	case ratio >= minEqualSpeedRatio:
		return 1
	case ratio <= maxExactSpeedRatio:
		return ratio
	default:
		return maxExactSpeedRatio + (ratio-maxExactSpeedRatio)*(1-maxExactSpeedRatio)/(minEqualSpeedRatio-maxExactSpeedRatio)
	}
}
