package backend

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// reference is what the instances of a service do, as all daemons saw it. The fast
// instances are those that are not told apart from the fastest ones.
type reference struct {
	fastest    float64 // pieces a second of the mean fast instance; 0: not known
	mean       float64 // pieces a second of the mean instance
	prior      float64 // pieces that count as made at the mean speed (priorAnswers)
	answerTime float64 // milliseconds that a fast instance takes for an answer
	// hasty is the part of the programs that a fast instance has room for.
	hasty float64
}

const (
	// enoughAnswers is the weight from which an instance tells what is usual.
	enoughAnswers = 3.0
	// nearlyMean keeps rounding from telling equal speeds apart.
	nearlyMean = 0.99
	// fastShare is the share of the fastest speeds from which an instance counts as fast.
	fastShare = 0.75
	// roomyShare is the part of the fast instances' work for which they are asked first. A
	// batch of half its size is hardly slower for one more, and the other half is for what
	// daemons send there that have not heard of each other.
	roomyShare = 0.5
	// priorAnswers is the weight, in answers, with which an instance counts as one of the
	// mean speed, so that one late answer changes little, and an instance that nobody
	// used for a while is tried again.
	priorAnswers = 8.0
	// alikeFrom is the speed, to that of fast instances, from which an instance counts
	// as one of them. Engines that are slower for moments differ by a
	// third over some seconds, and all daemons would go after that at once: on a fleet that is
	// alike but for moments, and over half full, the 99th percentile of a turn was
	// 1.02 s without speeds, 1.00 s with 0.61 and 1.11 s with 0.67 (simulation, five seeds).
	alikeFrom = 0.6
	// distinctFrom is the speed below which it is taken as it is.
	distinctFrom = 0.35
	// slowestBelieved bounds what is believed: below, something else than speed is wrong.
	slowestBelieved = 1.0 / 32
	// millisecondsEach is milliseconds a second.
	millisecondsEach = 1000
)

// speeds sums up the speeds of instances that did enough, each of them once.
type speeds struct {
	sum   float64 // pieces a second
	count int
	work  work
}

func (s speeds) mean() float64 { return s.sum / float64(s.count) }

// speedsFrom takes the instances that make so many pieces a second or more.
func speedsFrom(instances []*Instance, now time.Time, bound float64) speeds {
	var taken speeds
	for _, instance := range instances {
		done := instance.speed.known(now)
		if done.answers < enoughAnswers || done.speed() < bound {
			continue
		}
		taken.sum += done.speed()
		taken.count++
		taken.work = taken.work.plus(done)
	}
	return taken
}

// referenceOf takes the mean of all speeds, then that of the upper ones, and then
// that of all that are near it.
func referenceOf(instances []*Instance, request *Request) reference {
	if request.Off.Has(mechanism.EngineSpeeds) {
		return reference{}
	}
	all := speedsFrom(instances, request.Now, 0)
	if all.count == 0 {
		return reference{}
	}
	upper := speedsFrom(instances, request.Now, nearlyMean*all.mean())
	bound := fastShare * upper.mean()
	fast := speedsFrom(instances, request.Now, bound)
	return reference{
		fastest:    fast.mean(),
		mean:       all.mean(),
		prior:      priorAnswers * all.work.pieces / all.work.answers,
		answerTime: millisecondsEach * fast.work.seconds / fast.work.answers,
		hasty:      roomAt(instances, request, all.mean(), bound).hasty(),
	}
}

// room is the work that instances do and could do, in pieces a second.
type room struct {
	done     float64 // by all
	all      float64 // if all slots of all were taken
	fastOnes float64 // if all slots of the fast ones were taken
}

func roomAt(instances []*Instance, request *Request, mean, bound float64) room {
	var found room
	for _, instance := range instances {
		speed := mean
		if done := instance.speed.known(request.Now); done.answers >= enoughAnswers {
			speed = done.speed()
		}
		slots := Slots(instance, request)
		found.done += speed * float64(min(instance.Load(request.Now), slots))
		found.all += speed * float64(slots)
		if speed >= bound {
			found.fastOnes += speed * float64(slots)
		}
	}
	return found
}

// hasty is the part of the work that fast instances have room for, less the fuller all
// instances are: what is full altogether is shared by capacity. The work that is done
// depends little on where it is done, so that the part hardly changes with it, and
// daemons do not go to and fro.
func (r room) hasty() float64 {
	if r.done <= 0 {
		return 1
	}
	part := min(roomyShare*r.fastOnes/r.done, 1)
	left := (1 - r.done/r.all) / (1 - roomyShare)
	return part * min(left, 1)
}

// speedOf is the instance's speed to that of fast ones, at most 1; 1 if nothing is known.
func (r reference) speedOf(instance *Instance, now time.Time) float64 {
	if r.fastest == 0 {
		return 1
	}
	done := instance.speed.known(now)
	speed := (done.pieces + r.prior) / (done.seconds + r.prior/r.mean) / r.fastest
	return distinctSpeed(max(speed, slowestBelieved))
}

// distinctSpeed makes 1 of speeds that are nearly 1, and leaves those alone that are far
// from it, without a step between.
func distinctSpeed(speed float64) float64 {
	switch {
	case speed >= alikeFrom:
		return 1
	case speed <= distinctFrom:
		return speed
	default:
		return distinctFrom + (speed-distinctFrom)*(1-distinctFrom)/(alikeFrom-distinctFrom)
	}
}
