package admission

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// The times of a part.
const (
	// partEnds is how long a picture is believed: an interval of reports and a half.
	partEnds = 150 * time.Millisecond
	// claimWindow reaches back to the oldest figure that any picture in use holds.
	claimWindow = load.OldestPrograms + partEnds
)

// evenShare of the free room is divided alike, so that a daemon that was asked little has
// room for a first program; the rest goes by what each is asked. With twice as many daemons as
// engines, which keep some ten programs each, a quarter is room for one program. A half would
// leave more of the bound to daemons that nobody asks.
const evenShare = 0.25

// Claim is what a daemon told of itself at a moment, in tokens.
type Claim struct {
	At    time.Time
	Held  int64 // or what it may hold where that is more
	Asked int64 // a second
}

// Picture is the last that a daemon heard of all.
type Picture struct {
	At      time.Time // when it came; zero: never
	Daemons int64     // whose figures are in it
	Held    int64     // of contexts
	Claimed int64     // sum of the claims
	Asked   int64
}

// age is how long ago the picture came; 0: never.
func (p Picture) age(now time.Time) time.Duration {
	if p.At.IsZero() {
		return 0
	}
	return now.Sub(p.At)
}

// Share is what a daemon's part is worked out from.
type Share struct {
	Bound   float64 // of the fleet, in tokens
	Members int     // all daemons
	Picture Picture
	Least   Claim // the least that this daemon told in claimWindow
	// Last is the part that the daemon had when it last heard a picture, or what it held
	// when it first told of itself.
	Last float64
	// FirstTold is when the daemon first told of itself; zero: it has not.
	FirstTold time.Time
	Now       time.Time
}

// Part is how many tokens of contexts a daemon may hold when it begins a program.
//
// A daemon keeps the least that it told of its contexts within claimWindow, and gets a part
// of what the picture leaves free. All that a picture says was told within claimWindow, so
// that each picture's sum is at least the sum of what all daemons keep: however the pictures
// differ, what all keep and what all get of the free room sum to the bound at most. The
// daemons in a picture divide as much of the bound as they are of all members, so that those
// who are cut off from each other don't divide it twice. Who hears nothing goes on with an
// equal part, and claims that in what it tells.
func Part(share Share) float64 {
	members := max(float64(share.Members), float64(share.Picture.Daemons), 1)
	if share.silent() {
		return share.alone(share.Bound / members)
	}
	picture := share.Picture
	whole := share.Bound * float64(picture.Daemons) / members
	held, kept := float64(picture.Claimed), float64(min(share.Least.Held, picture.Claimed))
	if held >= whole {
		return kept * whole / max(held, 1)
	}
	asked := 1 / float64(picture.Daemons)
	if picture.Asked > 0 {
		asked = min(float64(share.Least.Asked)/float64(picture.Asked), 1)
	}
	return kept + (evenShare/float64(picture.Daemons)+(1-evenShare)*asked)*(whole-held)
}

// silent tells whether no picture is believed any more.
func (s Share) silent() bool {
	return s.Picture.At.IsZero() || s.Picture.Daemons <= 0 || s.Now.Sub(s.Picture.At) > partEnds
}

// alone is the part of a daemon that hears nothing: the equal one. For as long as others may
// go by what it told before, it is the last one if that was less. A daemon that has told
// nothing yet is in nobody's picture, so that the others leave it its equal part.
func (s Share) alone(equal float64) float64 {
	if s.FirstTold.IsZero() {
		return equal
	}
	since := s.FirstTold
	if heard := s.Picture.At.Add(partEnds); heard.After(since) {
		since = heard
	}
	if s.Now.Sub(since) < claimWindow {
		return min(equal, s.Last)
	}
	return equal
}

// claims are what a daemon told lately, oldest first.
type claims struct{ told []Claim }

func (c *claims) add(claim Claim) { c.told = append(c.told, claim) }

// least gives the least of each figure within claimWindow; nothing before a daemon has told
// anything for so long, since others know nothing of it then.
func (c *claims) least(now time.Time) Claim {
	from := now.Add(-claimWindow)
	for len(c.told) > 1 && !c.told[1].At.After(from) {
		c.told = c.told[1:]
	}
	if len(c.told) == 0 || c.told[0].At.After(from) {
		return Claim{At: now}
	}
	least := c.told[0]
	for _, claim := range c.told[1:] {
		least.Held = min(least.Held, claim.Held)
		least.Asked = min(least.Asked, claim.Asked)
	}
	return least
}
