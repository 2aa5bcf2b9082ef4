package turn

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Values of the metric label that tells where a turn was loaded from.
const (
	fromMemory      = "memory"
	fromOtherDaemon = "another daemon"
	fromStore       = "store"
)

// Load returns the turn with the given identifier, whichever process saved it. It looks into the
// cache, then asks the daemon at the address keptAt, which may have the turn in memory, and
// then reads the store. If keptAt is empty, no daemon is asked first. The error is
// ErrNotFound, ErrUnsure (a *BrokenError if the rows show why), or an error of the store or of
// the context.
func (r *Records) Load(ctx context.Context, identifier, keptAt string) (*Turn, error) {
	if known := r.cache.get(identifier); known != nil {
		r.metrics.read(fromMemory)
		return known, nil
	}
	if told := r.askDaemon(ctx, keptAt, identifier); told != nil {
		r.metrics.read(fromOtherDaemon)
		r.addToCache(told)
		return told, nil
	}
	read, err := r.loadFromStore(ctx, identifier)
	if err != nil {
		return nil, err
	}
	r.addToCache(read)
	return read, nil
}

// loadFromStore loads the turn from the store or from other daemons, and repeats this until the
// store gives an answer or the context ends.
func (r *Records) loadFromStore(ctx context.Context, identifier string) (*Turn, error) {
	current := &chainReader{records: r, identifier: identifier, rows: map[string]row{}}
	var read *Turn
	err := r.options.Store.Repeat(ctx, func() error {
		var err error
		read, err = current.load(ctx)
		return err
	})
	var broken *BrokenError
	if errors.As(err, &broken) {
		r.metrics.broken.Inc()
		r.options.Log.Warn("turn: its conversation is broken.", zap.String("turn", identifier), zap.String("at", broken.At), zap.String("cause", broken.Cause.Error()))
	}
	if err == nil && !current.isFromOther {
		r.metrics.read(fromStore)
		r.metrics.readings.Observe(float64(current.reads.Load()))
	}
	return read, err
}

// load makes one attempt to load the turn. If the most likely partition of the turn failed
// recently, it asks the other daemons before it reads the store. Otherwise it asks them
// afterwards, if the store did not answer or the turn is unsure.
func (l *chainReader) load(ctx context.Context) (*Turn, error) {
	places := rowset.PlacesOf(l.identifier)
	isFirstPlaceDown := l.records.options.Store.Prefer(places)[0] != places[0]
	if isFirstPlaceDown {
		if told := l.askOthers(ctx); told != nil {
			return told, nil
		}
	}
	read, err := l.readChain(ctx)
	if !isFirstPlaceDown && (state.NoVerdict(err) || errors.Is(err, ErrUnsure)) {
		if told := l.askOthers(ctx); told != nil {
			return told, nil
		}
	}
	return read, err
}

// askOthers returns the turn if another daemon has it in memory, and nil otherwise.
func (l *chainReader) askOthers(ctx context.Context) *Turn {
	if l.records.options.Others == nil {
		return nil
	}
	told := l.records.options.Others.search(ctx, l.identifier, l.records.restore)
	if told != nil {
		l.isFromOther = true
		l.records.metrics.read(fromOtherDaemon)
	}
	return told
}

// askDaemon asks the daemon at the address keptAt for a turn. It returns nil if there is no
// address, or if the daemon does not have the turn or does not answer.
func (r *Records) askDaemon(ctx context.Context, keptAt, identifier string) *Turn {
	if r.options.Others == nil || keptAt == "" {
		return nil
	}
	told, err := r.options.Others.ask(ctx, keptAt, identifier, r.restore)
	if err != nil {
		r.options.Log.Info("turn: the daemon that has it in memory did not return it.", zap.String("turn", identifier), zap.String("daemon", keptAt), zap.String("cause", err.Error()))
		return nil
	}
	return told
}

// confirmAbsence checks by the conditions of a commit whether the turn is absent, since reads may
// be stale and conditions are not. It returns ErrNotFound if none of the partitions in which
// the turn may lie has it, ErrUnsure if one has it, and otherwise the error of the store.
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
