package turn

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// maxConcurrentReads is the largest number of turns or pieces that one load reads from the store
// at the same time. It is half of the connections that a daemon has to the store.
const maxConcurrentReads = 8

// chainReader loads one conversation from the store. Rows that were read are retained for the next
// attempt if an attempt fails.
type chainReader struct {
	repository  *Repository
	identifier  string       // of the requested turn
	room        *passage     // for the copies made by this load
	reads       atomic.Int64 // store reads of turns' rows so far
	isFromOther bool         // whether the turn came from another daemon

	mutex sync.Mutex
	rows  map[string]row // by identifier of the turn
}

// readChain loads the turn in steps. It first reads the rows of the turn itself. Each further step
// reads the rows of all ancestors named by the oldest turn read so far. It stops at the start
// of the conversation or at an ancestor that is in memory.
func (r *chainReader) readChain(ctx context.Context) (*Turn, error) {
	last, err := r.readOwnRow(ctx)
	if err != nil {
		return nil, err
	}
	if last.legacy != nil {
		return r.fromLegacyRow(last), nil
	}
	order := []string{r.identifier}
	var known *Turn // the nearest ancestor in memory; nil if none was found
	for known == nil && len(last.Ancestors) > 0 {
		var wanted []string
		wanted, known = r.splitAtCached(last.Ancestors)
		for _, name := range wanted {
			if slices.Contains(order, name) {
				return nil, r.brokenError(name, ErrCycle)
			}
			order = append(order, name)
		}
		if err := r.readRows(ctx, wanted); err != nil {
			return nil, err
		}
		last = r.rows[order[len(order)-1]]
	}
	return r.assemble(ctx, order, known)
}

// readOwnRow reads the rows of the requested turn. If it finds none, it returns the error of
// confirmAbsence.
func (r *chainReader) readOwnRow(ctx context.Context) (row, error) {
	found, err := r.findRow(ctx, r.identifier)
	if errors.Is(err, ErrNotFound) {
		return row{}, r.repository.confirmAbsence(ctx, r.identifier)
	}
	return found, err
}

// fromLegacyRow builds the turn from a row in the legacy format, which holds the whole history. The
// turn's expiry is 0, so that the rows of other turns do not refer to it.
func (r *chainReader) fromLegacyRow(found row) *Turn {
	const notReferredTo = 0
	restored := &Turn{
		identifier: r.identifier, engine: found.legacy.Engine, expiry: notReferredTo,
		added: []segment{{bytes: found.legacy.History}},
	}
	return restored.complete()
}

// splitAtCached finds the first of the names whose turn is in memory. It returns the names before
// that one, and the turn. If no turn is in memory, it returns all names and nil.
func (r *chainReader) splitAtCached(names []string) ([]string, *Turn) {
	for index, name := range names {
		if known := r.repository.cache.peek(name); known != nil {
			return names[:index], known
		}
	}
	return names, nil
}

// readRows reads the rows of the ancestors with the given names into r.rows. It returns a
// *BrokenError if one of them is missing or in the legacy format.
func (r *chainReader) readRows(ctx context.Context, names []string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, name := range names {
		group.Go(func() error {
			found, err := r.findRow(ctx, name)
			switch {
			case errors.Is(err, ErrNotFound):
				return r.brokenError(name, ErrMissingAncestor)
			case err == nil && found.legacy != nil:
				return r.brokenError(name, rowset.ErrUnknownFormat)
			default:
				return err
			}
		})
	}
	return group.Wait()
}

// findRow reads the rows of a turn from the first of its possible partitions that has them whole.
// If none has, it returns the error of a partition that did not answer, or else a *BrokenError
// for one with broken rows, or else ErrNotFound.
func (r *chainReader) findRow(ctx context.Context, name string) (row, error) {
	r.mutex.Lock()
	known, found := r.rows[name]
	r.mutex.Unlock()
	if found {
		return known, nil
	}
	var unanswered, broken error
	for _, partition := range r.repository.options.Store.HealthyFirst(rowset.PartitionsOf(name)) {
		read, err := r.readPartition(ctx, name, partition)
		switch {
		case err == nil:
			r.mutex.Lock()
			r.rows[name] = read
			r.mutex.Unlock()
			return read, nil
		case state.IsTransient(err):
			unanswered = err
		case errors.Is(err, rowset.ErrInconsistent) || errors.Is(err, rowset.ErrUnknownFormat):
			broken = r.brokenError(name, err)
		case !errors.Is(err, ErrNotFound):
			return row{}, err
		}
	}
	if unanswered != nil {
		return row{}, unanswered
	}
	if broken != nil {
		return row{}, broken
	}
	return row{}, ErrNotFound
}

// readPartition reads the rows of a turn from one partition.
func (r *chainReader) readPartition(ctx context.Context, name, partition string) (row, error) {
	r.reads.Add(1)
	selected := rowset.RangeOf(state.Key{Table: table, Partition: partition, Name: name})
	selected.Class = state.ClassTurn
	page, err := r.repository.options.Store.Read(ctx, selected)
	if err != nil {
		return row{}, eris.Wrap(err, "read turn")
	}
	for _, each := range page.Rows {
		if err := r.room.grow(len(each.Value)); err != nil {
			return row{}, err
		}
	}
	return decodeRow(name, page.Rows)
}

// brokenError returns a *BrokenError of the requested turn. at is the identifier of the faulty turn.
func (r *chainReader) brokenError(at string, cause error) error {
	return &BrokenError{Turn: r.identifier, FaultyTurn: at, Cause: cause}
}

// assemble builds the requested turn from rows that have been read. order holds the names of the
// turns, the newest first. The oldest of them continues known, or starts the conversation if
// known is nil.
func (r *chainReader) assemble(ctx context.Context, order []string, known *Turn) (*Turn, error) {
	pieces, err := r.loadPieces(ctx, order)
	if err != nil {
		return nil, err
	}
	built := known
	for _, name := range slices.Backward(order) {
		if built, err = r.buildTurn(built, name, pieces); err != nil {
			return nil, err
		}
	}
	return built, nil
}

// buildTurn builds the turn with the given name from its rows and pieces. The turn continues
// previous, or starts the conversation if previous is nil. If its owner, ancestors or digest
// do not fit, the error is a *BrokenError.
func (r *chainReader) buildTurn(previous *Turn, name string, pieces map[piece.Reference]piece.Stored) (*Turn, error) {
	own := r.rows[name]
	if own.Owner != r.rows[r.identifier].Owner || previous != nil && previous.owner != own.Owner {
		return nil, r.brokenError(name, ErrOtherTenant)
	}
	if !isNearestAncestor(own.Ancestors, previous) {
		return nil, r.brokenError(name, ErrMissingAncestor)
	}
	built := &Turn{identifier: name, owner: own.Owner, engine: own.Engine, previous: previous, expiry: own.expires}
	for _, each := range own.Parts {
		reference, isReference := each.reference()
		if !isReference {
			built.added = append(built.added, segment{bytes: each.Bytes})
			continue
		}
		stored := pieces[reference]
		built.expiry = min(built.expiry, stored.Expires)
		built.added = append(built.added, segment{bytes: stored.Content, shared: !each.Spilled})
	}
	if built.complete().digest != own.Digest {
		return nil, r.brokenError(name, ErrDigestMismatch)
	}
	return built, nil
}

// isNearestAncestor reports whether previous is the first of the ancestors. If previous is nil, it
// reports whether there are no ancestors.
func isNearestAncestor(ancestors []string, previous *Turn) bool {
	if previous == nil {
		return len(ancestors) == 0
	}
	return len(ancestors) > 0 && ancestors[0] == previous.identifier
}

// loadPieces loads all pieces to which the rows of the named turns refer.
func (r *chainReader) loadPieces(ctx context.Context, order []string) (map[piece.Reference]piece.Stored, error) {
	namedBy := map[piece.Reference]string{}
	for _, name := range order {
		for _, each := range r.rows[name].Parts {
			if reference, isReference := each.reference(); isReference {
				namedBy[reference] = name
			}
		}
	}
	loaded := make(map[piece.Reference]piece.Stored, len(namedBy))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for reference, name := range namedBy {
		group.Go(func() error {
			stored, err := r.repository.pieces.Load(ctx, reference)
			if err != nil && !state.IsTransient(err) && ctx.Err() == nil {
				return r.brokenError(name, err)
			}
			if err != nil {
				return err
			}
			r.mutex.Lock()
			loaded[reference] = stored
			r.mutex.Unlock()
			return r.room.grow(len(stored.Content))
		})
	}
	return loaded, group.Wait()
}
