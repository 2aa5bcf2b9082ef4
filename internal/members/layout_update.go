package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// endBootstrap ends the bootstrap by writing the first layout, if shouldEndBootstrap returns true.
func (l *Lease) endBootstrap(parent context.Context) {
	if l.List.shouldEndBootstrap() {
		l.writeLayout(parent, l.List.firstLayout(), 0)
	}
}

// updateLayout writes the next layout if one is due and this daemon has the highest score for the
// layout's row among the living members.
func (l *Lease) updateLayout(parent context.Context, now time.Time) {
	stored, next, due := l.List.nextLayout(now)
	if due && l.List.HasHighestScore(bootstrapKey.Name) {
		l.writeLayout(parent, next, stored.version)
	}
}

// writeLayout writes a layout, on condition that the stored layout has the version storedVersion. A
// storedVersion of zero means that no layout is stored.
func (l *Lease) writeLayout(parent context.Context, next layout, storedVersion state.Version) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	fields := []zap.Field{zap.Any("zones", next.Zones), zap.Bool("moving", next.Moving), zap.Any("next", next.Next), zap.Uint64("seen", uint64(storedVersion))}
	value, err := next.encode()
	if err != nil {
		l.Log.Error("members: cannot encode the layout.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	_, err = l.Store.Commit(ctx, state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: bootstrapKey, Version: storedVersion}},
		Puts:       []state.Put{{Key: bootstrapKey, Value: value}},
	})
	if err != nil {
		l.Log.Info("members: layout not written; another member may have written it, otherwise it is retried.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	l.Log.Info("members: layout written.", fields...)
}
