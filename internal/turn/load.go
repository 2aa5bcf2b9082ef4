package turn

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Where a turn was read from; labels of a metric.
const (
	fromMemory = "memory"
	fromOther  = "another daemon"
	fromStore  = "store"
)

// Load returns a turn that was saved by any process. keptAt is the address of a
// daemon that is said to have it in memory, "": none; it is asked before the store. The
// errors are ErrNotFound, ErrUnsure (a *BrokenError where the rows show why), and those
// of the store and of the context.
func (r *Records) Load(ctx context.Context, identifier, keptAt string) (*Turn, error) {
	if known := r.cache.get(identifier); known != nil {
		r.metrics.read(fromMemory)
		return known, nil
	}
	if told := r.askOne(ctx, keptAt, identifier); told != nil {
		r.metrics.read(fromOther)
		r.remember(told)
		return told, nil
	}
	read, err := r.loadFromStore(ctx, identifier)
	if err != nil {
		return nil, err
	}
	r.remember(read)
	return read, nil
}

func (r *Records) loadFromStore(ctx context.Context, identifier string) (*Turn, error) {
	current := &reading{records: r, identifier: identifier, rows: map[string]row{}}
	var read *Turn
	err := r.options.Store.Repeat(ctx, func() error {
		var err error
		read, err = current.try(ctx)
		return err
	})
	var broken *BrokenError
	if errors.As(err, &broken) {
		r.metrics.broken.Inc()
		r.options.Log.Warn("turn: its conversation is broken.", zap.String("turn", identifier), zap.String("at", broken.At), zap.String("cause", broken.Cause.Error()))
	}
	if err == nil && !current.told {
		r.metrics.read(fromStore)
		r.metrics.readings.Observe(float64(current.calls.Load()))
	}
	return read, err
}

// try reads the turn from the store, and asks other daemons where the store does not
// tell. A most likely place that does not answer is known before it is read.
func (l *reading) try(ctx context.Context) (*Turn, error) {
	likely := rowset.PlacesOf(l.identifier)
	doubtful := l.records.options.Store.Prefer(likely)[0] != likely[0]
	if doubtful {
		if told := l.askOthers(ctx); told != nil {
			return told, nil
		}
	}
	read, err := l.fromStore(ctx)
	if !doubtful && (state.NoVerdict(err) || errors.Is(err, ErrUnsure)) {
		if told := l.askOthers(ctx); told != nil {
			return told, nil
		}
	}
	return read, err
}

func (l *reading) askOthers(ctx context.Context) *Turn {
	if l.records.options.Others == nil {
		return nil
	}
	told := l.records.options.Others.search(ctx, l.identifier, l.records.restore)
	if told != nil {
		l.told = true
		l.records.metrics.read(fromOther)
	}
	return told
}

// askOne asks the daemon that is said to have a turn in memory.
func (r *Records) askOne(ctx context.Context, keptAt, identifier string) *Turn {
	if r.options.Others == nil || keptAt == "" {
		return nil
	}
	told, err := r.options.Others.ask(ctx, keptAt, identifier, r.restore)
	if err != nil {
		r.options.Log.Info("turn: the daemon that had it did not tell it.", zap.String("turn", identifier), zap.String("daemon", keptAt), zap.String("cause", err.Error()))
		return nil
	}
	return told
}

// confirmAbsence is ErrNotFound if conditions prove that the turn is in none
// of its places: readings may be behind, conditions never are.
func (r *Records) confirmAbsence(ctx context.Context, identifier string) error {
	var absent []state.Condition
	for _, partition := range rowset.PlacesOf(identifier) {
		absent = append(absent, state.Condition{Key: state.Key{Table: table, Partition: partition, Name: identifier}})
	}
	_, err := r.options.Store.Commit(ctx, state.Commit{Class: state.ClassTurn, Conditions: absent})
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return ErrNotFound
	case errors.As(err, &conflict):
		return ErrUnsure
	default:
		return eris.Wrap(err, "confirm that the turn is absent")
	}
}
