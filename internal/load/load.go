// Package load lets all daemons see how loaded each engine is. Every daemon reports its requests to an aggregator of its group, and learns from the
// answer what all daemons have under way. A group is a zone, or the whole region
// while that is small; its aggregators are a few of its larger machines, chosen by
// hash, and tell those of the other groups their sums.
//
// Guarantee: none. What is told is a hint and ages (at most reportInterval +
// exchangeInterval + reportInterval, plus the ways); a daemon that hears no
// aggregator goes by what it does itself.
//
// Cost: a daemon sends and gets one message each reportInterval, whatever the size
// of the fleet. An aggregator serves at most reportersEach daemons and exchanges
// with the aggregators of the other groups: one for each reportersEach daemons.
package load

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ServiceName is the name under which an aggregator is called by other daemons.
const ServiceName = "Load"

const (
	methodReport = ServiceName + ".Report"
	methodShare  = ServiceName + ".Share"
)

// How often loads are told. A turn lasts some 100 ms on the users' engines, and a
// picture that is older than that sends bursts to engines that filled up
// meanwhile: with 295 daemons before 153 engines, under twice the usual load, a picture of
// 148 ms in place of 885 ms raised what was served in time, weighed by its value, from 0.68 to 0.83.
const (
	reportInterval   = 100 * time.Millisecond
	exchangeInterval = 100 * time.Millisecond
	// idleInterval is how often a daemon looks whether others report to it: most
	// never aggregate.
	idleInterval = 300 * time.Millisecond
	// reportWait is how long a report may take; the aggregator is passed over for
	// avoidFor after it, so that another one takes its place within half a second.
	reportWait = 150 * time.Millisecond
	avoidFor   = time.Second
	// reportKept and shareKept are how long what was last heard of a daemon, and of
	// another aggregator, counts: four intervals.
	reportKept = 4 * reportInterval
	shareKept  = 4 * exchangeInterval
)

// Key is the digest by which daemons name an engine to each other: four
// bytes in place of an identifier. Two of 3,400 share one with a chance of 0.1 %; each
// then seems to have the counts of both.
type Key uint32

// KeyOf gives the digest of an identifier.
func KeyOf(identifier string) Key { return Key(xxhash.Sum64String(identifier)) } //nolint:gosec // the low bits are meant

// Counts are requests by engine; those without any are left out.
type Counts map[Key]int

// Told is what daemons tell of their work.
type Told struct {
	UnderWay []byte // Counts by engine, encoded
	Speeds   []byte // Speeds by engine, encoded
	Programs []byte // Programs, encoded; empty: a daemon that tells none
}

// Sample is what one daemon tells.
type Sample struct {
	Member string
	Told   Told
}

// Picture is what all daemons told, as far as the aggregator heard.
type Picture struct {
	All Told
	// Own is how much of it is the reporting daemon's own: its report before this
	// one, or this one.
	Own Told
	// Outside tells how long the aggregator has heard none of another group.
	Outside Silence
}

// Silence is how long nothing was heard of the daemons of other groups.
type Silence struct {
	// Heard tells that the aggregator heard one of them since it aggregates; one that began
	// lately, or whose list is not read yet, knows nothing.
	Heard  bool
	Lasted time.Duration
}

// Share is what the daemons that report to one aggregator told.
type Share struct {
	Aggregator string
	Told       Told
}

// ShareReply is empty: aggregators tell each other their shares, each by itself.
type ShareReply struct{}

const digestBytes = 4

// encode writes each engine's digest and its count as a varint.
func (c Counts) encode() []byte {
	encoded := make([]byte, 0, len(c)*(digestBytes+1))
	for key, count := range c {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.AppendUvarint(encoded, uint64(max(count, 0)))
	}
	return encoded
}

// add adds encoded counts.
func (c Counts) add(encoded []byte) error {
	for len(encoded) > 0 {
		if len(encoded) <= digestBytes {
			return eris.Errorf("load: %d bytes are left of an entry", len(encoded))
		}
		key := Key(binary.LittleEndian.Uint32(encoded))
		count, length := binary.Uvarint(encoded[digestBytes:])
		if length <= 0 || count > mostCounted {
			return eris.Errorf("load: the count of %08x cannot be read", uint32(key))
		}
		c[key] += int(count)
		encoded = encoded[digestBytes+length:]
	}
	return nil
}

// mostCounted bounds a count that is believed: more requests than any engine has at the
// target size (letter 1: 22,000 a second in all).
const mostCounted = 1 << 20

// check tells whether what was told can be read.
func check(told Told) error {
	return errors.Join(newSum().add(told), newPrograms().add(told.Programs))
}
