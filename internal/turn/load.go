package turn

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Values of the metric label that states where a turn was loaded from.
const (
	fromMemory      = "memory"
	fromOtherDaemon = "another daemon"
	fromStore       = "store"
)

// Load returns the turn with the given identifier, whichever process saved it. It looks into the
// cache, then asks the daemon at recorderAddress, and then reads the store. recorderAddress is
// the address of the daemon expected to have the turn in memory, or empty if none is known. The
// error is ErrNotFound, ErrUncertain, ErrNoMemory, a *BrokenError, or an error of the store or of the
// context.
func (r *Repository) Load(ctx context.Context, identifier, recorderAddress string) (*Turn, error) {
	if known := r.cache.get(identifier); known != nil {
		r.metrics.read(fromMemory)
		return known, nil
	}
	passage, err := r.gate.enterExpected(ctx)
	if err != nil {
		return nil, err
	}
	defer passage.leave()
	if loaded := r.cache.get(identifier); loaded != nil { // by another request, while this one waited
		r.metrics.read(fromMemory)
		return loaded, nil
	}
	if received := r.askDaemon(ctx, recorderAddress, identifier); received != nil {
		r.metrics.read(fromOtherDaemon)
		r.addToCache(received)
		return received, passage.grow(received.length)
	}
	read, err := r.loadFromStore(ctx, identifier, passage)
	if err != nil {
		return nil, err
	}
	r.addToCache(read)
	return read, nil
}

// loadFromStore loads the turn from the store, or from other daemons if the store gives no certain
// answer. It retries while the store does not answer, until the context ends.
func (r *Repository) loadFromStore(ctx context.Context, identifier string, room *passage) (*Turn, error) {
	current := &chainReader{repository: r, identifier: identifier, room: room, rows: map[string]row{}}
	var read *Turn
	err := r.options.Store.Retry(ctx, func() error {
		var err error
		read, err = current.load(ctx)
		return err
	})
	var broken *BrokenError
	if errors.As(err, &broken) {
		r.metrics.broken.Inc()
		r.options.Log.Warn("turn: its conversation is broken.", zap.String("turn", identifier), zap.String("at", broken.FaultyTurn), zap.String("cause", broken.Cause.Error()))
	}
	if err == nil && !current.isFromOther {
		r.metrics.read(fromStore)
		r.metrics.readsPerLoad.Observe(float64(current.reads.Load()))
	}
	return read, err
}

// load makes one attempt to load the turn. It reads the store, and then asks other daemons if the
// store did not answer or its answer is ErrUncertain. If the turn's most likely partition failed
// recently, load asks the other daemons first and reads the store only if none has the turn.
func (r *chainReader) load(ctx context.Context) (*Turn, error) {
	partitions := rowset.PartitionsOf(r.identifier)
	isFirstPartitionDown := r.repository.options.Store.HealthyFirst(partitions)[0] != partitions[0]
	if isFirstPartitionDown {
		if received := r.askPeers(ctx); received != nil {
			return received, nil
		}
	}
	read, err := r.readChain(ctx)
	if !isFirstPartitionDown && (state.IsTransient(err) || errors.Is(err, ErrUncertain)) {
		if received := r.askPeers(ctx); received != nil {
			return received, nil
		}
	}
	return read, err
}

// askPeers returns the turn if another daemon has it in memory, and nil otherwise.
func (r *chainReader) askPeers(ctx context.Context) *Turn {
	if r.repository.options.Peers == nil {
		return nil
	}
	received := r.repository.options.Peers.search(ctx, r.identifier, r.repository.restore)
	if received != nil {
		r.isFromOther = true
		r.repository.metrics.read(fromOtherDaemon)
	}
	return received
}

// askDaemon asks the daemon at recorderAddress for a turn. It returns nil if recorderAddress is
// empty or if the daemon does not return the turn.
func (r *Repository) askDaemon(ctx context.Context, recorderAddress, identifier string) *Turn {
	if r.options.Peers == nil || recorderAddress == "" {
		return nil
	}
	received, err := r.options.Peers.ask(ctx, recorderAddress, identifier, r.restore)
	if err != nil {
		r.options.Log.Info("turn: the daemon expected to have it in memory did not return it.", zap.String("turn", identifier), zap.String("daemon", recorderAddress), zap.String("cause", err.Error()))
		return nil
	}
	return received
}

// confirmAbsence checks whether the turn is absent, after reads have not found it. Reads may be
// stale, so it makes a commit with the condition that none of the turn's possible partitions
// holds it. It returns ErrNotFound if the condition is true, ErrUncertain if it is false, and
// otherwise the error of the store.
func (r *Repository) confirmAbsence(ctx context.Context, identifier string) error {
	var absent []state.Condition
	for _, partition := range rowset.PartitionsOf(identifier) {
		absent = append(absent, state.Condition{Key: state.Key{Table: table, Partition: partition, Name: identifier}})
	}
	_, err := r.options.Store.Commit(ctx, state.Commit{Class: state.ClassTurn, Conditions: absent})
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return ErrNotFound
	case errors.As(err, &conflict):
		return ErrUncertain
	default:
		return eris.Wrap(err, "confirm that the turn is absent")
	}
}
