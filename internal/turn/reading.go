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

// chainReader loads one conversation from the store. Rows that were read are kept for the next
// attempt if an attempt fails.
type chainReader struct {
	records     *Records
	identifier  string       // the turn to load
	reads       atomic.Int64 // store reads of turns' rows so far
	isFromOther bool         // whether another daemon returned the turn in the end

	mutex sync.Mutex
	rows  map[string]row // by identifier of the turn
}

// readChain loads the turn in steps. It first reads the rows of the turn itself. Each further step
// reads the rows of all ancestors that the rows of the oldest turn read so far name. It stops
// at the start of the conversation or at an ancestor that is in memory.
func (l *chainReader) readChain(ctx context.Context) (*Turn, error) {
	last, err := l.readOwnRow(ctx)
	if err != nil {
		return nil, err
	}
	if last.legacy != nil {
		return l.fromLegacyRow(last), nil
	}
	order := []string{l.identifier}
	var known *Turn // the nearest ancestor in memory; nil if none was found
	for known == nil && len(last.Ancestors) > 0 {
		var wanted []string
		wanted, known = l.untilCached(last.Ancestors)
		for _, name := range wanted {
			if slices.Contains(order, name) {
				return nil, l.brokenError(name, ErrLoop)
			}
			order = append(order, name)
		}
		if err := l.readRows(ctx, wanted); err != nil {
			return nil, err
		}
		last = l.rows[order[len(order)-1]]
	}
	return l.assemble(ctx, order, known)
}

// readOwnRow reads the rows of the turn itself. If there are none, it returns the error of
// confirmAbsence.
func (l *chainReader) readOwnRow(ctx context.Context) (row, error) {
	found, err := l.findRow(ctx, l.identifier)
	if errors.Is(err, ErrNotFound) {
		return row{}, l.records.confirmAbsence(ctx, l.identifier)
	}
	return found, err
}

// fromLegacyRow makes a turn of a row in the legacy format, which holds the whole history. Its
// expiry is set so that no other turn's rows refer to it.
func (l *chainReader) fromLegacyRow(found row) *Turn {
	const notReferredTo = 0
	restored := &Turn{
		identifier: l.identifier, engine: found.legacy.Engine, expiry: notReferredTo,
		added: []segment{{bytes: found.legacy.History}},
	}
	return restored.complete()
}

// untilCached returns the names before the first one that is in memory, and that turn. If none is
// in memory, it returns all names and nil.
func (l *chainReader) untilCached(names []string) ([]string, *Turn) {
	for index, name := range names {
		if known := l.records.cache.peek(name); known != nil {
			return names[:index], known
		}
	}
	return names, nil
}

// readRows reads the rows of the ancestors with the given names into l.rows. It returns a
// *BrokenError if one of them is missing or in the legacy format.
func (l *chainReader) readRows(ctx context.Context, names []string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for _, name := range names {
		group.Go(func() error {
			found, err := l.findRow(ctx, name)
			switch {
			case errors.Is(err, ErrNotFound):
				return l.brokenError(name, ErrGap)
			case err == nil && found.legacy != nil:
				return l.brokenError(name, rowset.ErrFormat)
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
func (l *chainReader) findRow(ctx context.Context, name string) (row, error) {
	l.mutex.Lock()
	known, found := l.rows[name]
	l.mutex.Unlock()
	if found {
		return known, nil
	}
	var unanswered, broken error
	for _, partition := range l.records.options.Store.Prefer(rowset.PlacesOf(name)) {
		read, err := l.readPlace(ctx, name, partition)
		switch {
		case err == nil:
			l.mutex.Lock()
			l.rows[name] = read
			l.mutex.Unlock()
			return read, nil
		case state.NoVerdict(err):
			unanswered = err
		case errors.Is(err, rowset.ErrTorn) || errors.Is(err, rowset.ErrFormat):
			broken = l.brokenError(name, err)
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

// readPlace reads the rows of a turn from one partition.
func (l *chainReader) readPlace(ctx context.Context, name, partition string) (row, error) {
	l.reads.Add(1)
	selected := rowset.Range(state.Key{Table: table, Partition: partition, Name: name})
	selected.Class = state.ClassTurn
	page, err := l.records.options.Store.Read(ctx, selected)
	if err != nil {
		return row{}, eris.Wrap(err, "read turn")
	}
	return decodeRow(name, page.Rows)
}

// brokenError returns a *BrokenError for the turn to load and the faulty turn at.
func (l *chainReader) brokenError(at string, cause error) error {
	return &BrokenError{Turn: l.identifier, At: at, Cause: cause}
}

// assemble makes the turn to load from the rows of the turns in order, the newest first. The
// oldest of these continues known, or starts the conversation if known is nil.
func (l *chainReader) assemble(ctx context.Context, order []string, known *Turn) (*Turn, error) {
	pieces, err := l.loadPieces(ctx, order)
	if err != nil {
		return nil, err
	}
	built := known
	for _, name := range slices.Backward(order) {
		if built, err = l.buildTurn(built, name, pieces); err != nil {
			return nil, err
		}
	}
	return built, nil
}

// buildTurn makes the turn with the given name from its rows. It continues previous, or starts the
// conversation if previous is nil. Owner, ancestors and digest are checked; a mismatch is a
// *BrokenError.
func (l *chainReader) buildTurn(previous *Turn, name string, pieces map[piece.Reference]piece.Stored) (*Turn, error) {
	own := l.rows[name]
	if own.Owner != l.rows[l.identifier].Owner || previous != nil && previous.owner != own.Owner {
		return nil, l.brokenError(name, ErrForeign)
	}
	if !isNearestAncestor(own.Ancestors, previous) {
		return nil, l.brokenError(name, ErrGap)
	}
	built := &Turn{identifier: name, owner: own.Owner, engine: own.Engine, previous: previous, expiry: own.expires}
	for _, each := range own.Parts {
		reference, names := each.reference()
		if !names {
			built.added = append(built.added, segment{bytes: each.Bytes})
			continue
		}
		stored := pieces[reference]
		built.expiry = min(built.expiry, stored.Expires)
		built.added = append(built.added, segment{bytes: stored.Content, shared: !each.Spilled})
	}
	if built.complete().digest != own.Digest {
		return nil, l.brokenError(name, ErrChanged)
	}
	return built, nil
}

// isNearestAncestor reports whether previous is the first of the ancestors, or whether there are
// none if previous is nil.
func isNearestAncestor(ancestors []string, previous *Turn) bool {
	if previous == nil {
		return len(ancestors) == 0
	}
	return len(ancestors) > 0 && ancestors[0] == previous.identifier
}

// loadPieces loads all pieces that the rows of the turns in order refer to.
func (l *chainReader) loadPieces(ctx context.Context, order []string) (map[piece.Reference]piece.Stored, error) {
	namedBy := map[piece.Reference]string{}
	for _, name := range order {
		for _, each := range l.rows[name].Parts {
			if reference, names := each.reference(); names {
				namedBy[reference] = name
			}
		}
	}
	loaded := make(map[piece.Reference]piece.Stored, len(namedBy))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for reference, name := range namedBy {
		group.Go(func() error {
			stored, err := l.records.pieces.Load(ctx, reference)
			if err != nil && !state.NoVerdict(err) && ctx.Err() == nil {
				return l.brokenError(name, err)
			}
			l.mutex.Lock()
			loaded[reference] = stored
			l.mutex.Unlock()
			return err
		})
	}
	return loaded, group.Wait()
}
