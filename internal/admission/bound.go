package admission

import (
	"math"
	"time"
)

// The law by which the bound follows what engines show.
const (
	// memoryFloor is the share of the engines' memory below which contexts are never
	// bounded: half of it stays for what programs leave behind and for engines that got
	// more than others. It is the share that scheduling.Settings.WorkingSet has.
	memoryFloor = 0.5
	// memoryCeiling is the share of the memory that parts sum to at most. Programs are few at
	// each daemon and their number swings, so that daemons use some two thirds of their parts:
	// at 1.5, 45 of 9,700 programs at the usual load of this package's simulation are refused
	// (22 of them before daemons first hear each other), at 1.25 103, and an overload earns
	// the same. Where engines bear less, first bytes tell.
	memoryCeiling = 1.5
	// slowRatio and calmRatio compare the first byte of turns with the idle one. Beyond
	// slowRatio a program misses an aim of 1.3 times its idle time, of which a third is
	// first bytes.
	slowRatio = 1.6
	calmRatio = 1.5
	// decrease is the part of the bound that goes in a second of slow first bytes; increase is
	// what comes back in a second of quick ones, as a part of the least bound. An overload is
	// left within two seconds.
	decrease = 0.4
	increase = 0.1
	// servedFollow is how fast what was served without trouble is believed: it has to
	// last for some seconds, since contexts grow before first bytes do.
	servedFollow = 0.2
	servedForget = 0.02
	// servedMargin is what the bound leaves above what was served without trouble: what
	// callers ask swings by some tenths.
	servedMargin = 1.5
	// longestStep bounds what one step changes after a silence.
	longestStep = time.Second
)

// Bound is how many tokens of programs' contexts an engine bears, learnt from what the
// fleet shows. The zero value has learnt nothing.
type Bound struct {
	perEngine float64 // +Inf: none was found; 0: not begun
	served    float64 // contexts an engine that were served without trouble
}

// Observation is what the fleet showed since the last step.
type Observation struct {
	Elapsed time.Duration
	Room    Room
	Held    float64 // tokens of contexts, of all daemons
	// Ratio is the mean first byte of turns under way against the idle one; 0: not known.
	Ratio float64
}

// Step gives the bound after one more observation: additive increase, multiplicative
// decrease, between what was served without trouble and what the memory holds.
func (b Bound) Step(seen Observation) Bound {
	engines := float64(max(seen.Room.Engines, 1))
	held := seen.Held / engines
	seconds := min(seen.Elapsed, longestStep).Seconds()
	least, most := b.limits(seen.Room)
	if b.perEngine == 0 {
		b.perEngine = most
	}
	switch {
	case seen.Ratio > slowRatio:
		b.perEngine = min(b.perEngine, held) * (1 - decrease*seconds)
		b.served *= 1 - servedForget*seconds
	case seen.Ratio < calmRatio:
		b.served += max(held-b.served, 0) * servedFollow * seconds
		b.perEngine += increase * least * seconds
	}
	b.perEngine = max(min(b.perEngine, most), least)
	return b
}

// limits are the least and the most that an engine is taken to bear.
func (b Bound) limits(room Room) (least, most float64) {
	if room.MemoryTokens <= 0 {
		return b.served * servedMargin, math.Inf(1)
	}
	memory := room.tokens() / float64(max(room.Engines, 1))
	most = memoryCeiling * memory
	return min(max(memoryFloor*memory, b.served*servedMargin), most), most
}

// Tokens is the bound of the whole fleet.
func (b Bound) Tokens(room Room) float64 {
	if room.Engines == 0 {
		return 0
	}
	_, most := b.limits(room)
	if b.perEngine == 0 {
		return most * float64(room.Engines)
	}
	return min(b.perEngine, most) * float64(room.Engines)
}

// idle learns the first byte of turns while engines have little to do: the least mean that
// was seen, which rises slowly so that a fleet that became slower is not slow for ever.
type idle struct{ seconds float64 }

// idleRise is the part by which the idle first byte rises in a second: it doubles in six
// minutes of slower turns.
const idleRise = 0.002

// ratio takes in the fleet's mean first byte over so many turns.
func (i *idle) ratio(turns, firstByte float64, elapsed time.Duration) float64 {
	// fewestTurns is from how many turns within shownFor a mean is believed: its error is some
	// fifth of the spread of single first bytes.
	const fewestTurns = 20
	if turns < fewestTurns {
		return 0
	}
	mean := firstByte / turns
	i.seconds *= 1 + idleRise*elapsed.Seconds()
	if i.seconds == 0 || mean < i.seconds {
		i.seconds = mean
	}
	return mean / max(i.seconds, 1e-6)
}
