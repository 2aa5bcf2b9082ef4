package quota_test

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/quota"
)

// toldFleet is daemons that tell each other what they took, each 100 ms, as of 100 ms ago.
type toldFleet struct {
	now     time.Time
	next    time.Time
	daemons []*quota.Limiter
	told    []load.Counts // on the way
}

const tellInterval = 100 * time.Millisecond

func newFleet(daemons int, start time.Time) fleet {
	made := &toldFleet{now: start, next: start}
	for range daemons {
		made.daemons = append(made.daemons, quota.NewLimiter(settings, func() time.Time { return made.now }))
	}
	return made
}

func (f *toldFleet) take(daemon int, request quota.Request) (after time.Duration, admitted bool) {
	_, err := f.daemons[daemon].Take(request)
	if exceeded, refused := err.(*quota.ExceededError); refused {
		return exceeded.After, false
	}
	return 0, true
}

func (f *toldFleet) advance(to time.Time) {
	for !f.next.After(to) {
		f.now = f.next
		f.tell()
		f.next = f.next.Add(tellInterval)
	}
	f.now = to
}

// tell delivers what was told an interval ago, and gathers anew.
func (f *toldFleet) tell() {
	all := load.Counts{}
	for _, own := range f.told {
		for key, count := range own {
			all[key] += count
		}
	}
	for number, own := range f.told {
		copied := load.Counts{}
		for key, count := range all {
			copied[key] = count
		}
		f.daemons[number].Learn(copied, own)
	}
	f.told = f.told[:0]
	for _, daemon := range f.daemons {
		f.told = append(f.told, daemon.Counts())
	}
}
