package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// releaseClaims releases the claims of members that this daemon first saw dead more than
// deadReleaseDelay ago (endedReleaseDelay after a planned shutdown), so that their shards are
// assigned to other members. It handles the dead members for whose names this daemon has the
// highest score among the living members.
func (l *Lease) releaseClaims(parent context.Context, now time.Time) {
	for _, rec := range l.List.current.Load().dead {
		wait := deadReleaseDelay
		if rec.member.Standing == StandingEnded {
			wait = endedReleaseDelay
		}
		machine := rec.member.Process.Machine
		if !rec.member.Standing.hasClaims() || now.Sub(rec.diedAt) <= wait || !l.List.HasHighestScore(string(machine)) {
			continue
		}
		l.releaseClaimsOf(parent, rec)
	}
}

func (l *Lease) releaseClaimsOf(parent context.Context, rec *memberRecord) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	released := rec.member
	released.Standing = StandingReleased
	machine := zap.String("member", string(released.Process.Machine))
	value, err := Encode(released)
	if err != nil {
		l.Log.Error("members: cannot encode a member's row to release its claims.", machine, zap.String("error", err.Error()))
		return
	}
	key := keyOf(MemberTable, released.Process.Machine)
	_, err = l.Store.Commit(ctx, state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: key, Version: rec.rowVersion}},
		Puts:       []state.Put{{Key: key, Value: value}},
	})
	if err != nil {
		l.Log.Info("members: claims not released.", machine, zap.String("error", err.Error()))
		return
	}
	l.Log.Info("members: claims released.", machine, zap.Uint64("incarnation", uint64(released.Process.Incarnation)))
}
