package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// release ends the claims of members that ended, so that others keep what they kept. The
// one with the first claim on the row does it.
func (l *Lease) release(parent context.Context, now time.Time) {
	for _, known := range l.List.current.Load().dead {
		wait := releaseDeadAfter
		if known.member.Standing == StandingEnded {
			wait = releaseEndedAfter
		}
		machine := known.member.Process.Machine
		if !known.member.Standing.claims() || now.Sub(known.diedAt) <= wait || !l.List.Sweeps(string(machine)) {
			continue
		}
		l.releaseOne(parent, known)
	}
}

func (l *Lease) releaseOne(parent context.Context, known *record) {
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	released := known.member
	released.Standing = StandingReleased
	machine := zap.String("member", string(released.Process.Machine))
	value, err := Encode(released)
	if err != nil {
		l.Log.Error("members: released claims not written.", machine, zap.String("error", err.Error()))
		return
	}
	key := keyOf(Table, released.Process.Machine)
	_, err = l.Store.Commit(ctx, state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: key, Version: known.row}},
		Puts:       []state.Put{{Key: key, Value: value}},
	})
	if err != nil {
		l.Log.Info("members: claims not released.", machine, zap.String("error", err.Error()))
		return
	}
	l.Log.Info("members: claims released.", machine, zap.Uint64("incarnation", uint64(released.Process.Incarnation)))
}
