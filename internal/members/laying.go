package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// endFounding writes that the founding is over, unless that stands already.
func (l *Lease) endFounding(parent context.Context) {
	if l.List.endsFounding() {
		l.writeLayout(parent, l.List.firstLayout(), 0)
	}
}

// lay changes the layout where zones came or went. The one with the first claim on the row does it.
func (l *Lease) lay(parent context.Context, now time.Time) {
	seen, next, due := l.List.nextLayout(now)
	if due && l.List.Sweeps(foundedKey.Name) {
		l.writeLayout(parent, next, seen.version)
	}
}

// writeLayout writes a layout on condition that the former is as it was seen.
func (l *Lease) writeLayout(parent context.Context, next layout, seen state.Version) {
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	fields := []zap.Field{zap.Any("zones", next.Zones), zap.Bool("moving", next.Moving), zap.Any("next", next.Next), zap.Uint64("seen", uint64(seen))}
	value, err := next.encode()
	if err != nil {
		l.Log.Error("members: layout not written.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	_, err = l.Store.Commit(ctx, state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: foundedKey, Version: seen}},
		Puts:       []state.Put{{Key: foundedKey, Value: value}},
	})
	if err != nil {
		l.Log.Info("members: layout not written; another may have, or it is tried again.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	l.Log.Info("members: layout written.", fields...)
}
