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

// readAtOnce is how many rows and pieces of a conversation are read at a time: half of
// the connections that a daemon keeps to the store.
const readAtOnce = 8

// reading is one conversation that is read from the store. What was read stays for
// the next try.
type reading struct {
	records    *Records
	identifier string
	calls      atomic.Int64 // readings made
	told       bool         // by another daemon, in the end

	mutex sync.Mutex
	rows  map[string]row
}

// fromStore reads the turn, then all ancestors that its row names at once, and so on
// from the last one named.
func (l *reading) fromStore(ctx context.Context) (*Turn, error) {
	last, err := l.first(ctx)
	if err != nil {
		return nil, err
	}
	if last.former != nil {
		return l.fromFormer(last), nil
	}
	order := []string{l.identifier}
	var known *Turn // the nearest ancestor in memory
	for known == nil && len(last.Ancestors) > 0 {
		var wanted []string
		wanted, known = l.untilKnown(last.Ancestors)
		for _, name := range wanted {
			if slices.Contains(order, name) {
				return nil, l.broken(name, ErrLoop)
			}
			order = append(order, name)
		}
		if err := l.fetch(ctx, wanted); err != nil {
			return nil, err
		}
		last = l.rows[order[len(order)-1]]
	}
	return l.assemble(ctx, order, known)
}

// first reads the rows of the turn itself.
func (l *reading) first(ctx context.Context) (row, error) {
	found, err := l.locate(ctx, l.identifier)
	if errors.Is(err, ErrNotFound) {
		return row{}, l.records.confirmAbsence(ctx, l.identifier)
	}
	return found, err
}

// fromFormer makes a turn of a row that holds its whole history. No other turn's row
// may refer to it.
func (l *reading) fromFormer(found row) *Turn {
	const notReferredTo = 0
	made := &Turn{
		identifier: l.identifier, engine: found.former.Engine, until: notReferredTo,
		added: []segment{{bytes: found.former.History}},
	}
	return made.complete()
}

// untilKnown cuts the names before the first that is in memory.
func (l *reading) untilKnown(names []string) ([]string, *Turn) {
	for index, name := range names {
		if known := l.records.cache.peek(name); known != nil {
			return names[:index], known
		}
	}
	return names, nil
}

// fetch reads the rows of ancestors.
func (l *reading) fetch(ctx context.Context, names []string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readAtOnce)
	for _, name := range names {
		group.Go(func() error {
			found, err := l.locate(ctx, name)
			switch {
			case errors.Is(err, ErrNotFound):
				return l.broken(name, ErrGap)
			case err == nil && found.former != nil:
				return l.broken(name, rowset.ErrFormat)
			default:
				return err
			}
		})
	}
	return group.Wait()
}

// locate looks into each place where a turn may lie. Rows that are not whole count
// only if no other place holds the turn.
func (l *reading) locate(ctx context.Context, name string) (row, error) {
	l.mutex.Lock()
	known, found := l.rows[name]
	l.mutex.Unlock()
	if found {
		return known, nil
	}
	var unanswered, broken error
	for _, partition := range l.records.options.Store.Prefer(rowset.PlacesOf(name)) {
		read, err := l.read(ctx, name, partition)
		switch {
		case err == nil:
			l.mutex.Lock()
			l.rows[name] = read
			l.mutex.Unlock()
			return read, nil
		case state.NoVerdict(err):
			unanswered = err
		case errors.Is(err, rowset.ErrTorn) || errors.Is(err, rowset.ErrFormat):
			broken = l.broken(name, err)
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

func (l *reading) read(ctx context.Context, name, partition string) (row, error) {
	l.calls.Add(1)
	selected := rowset.Range(state.Key{Table: table, Partition: partition, Name: name})
	selected.Class = state.ClassTurn
	page, err := l.records.options.Store.Read(ctx, selected)
	if err != nil {
		return row{}, eris.Wrap(err, "read turn")
	}
	return decodeRow(name, page.Rows)
}

func (l *reading) broken(at string, cause error) error {
	return &BrokenError{Turn: l.identifier, At: at, Cause: cause}
}

// assemble makes the conversation of rows, the newest first, that go on from a turn in
// memory; nil: from none.
func (l *reading) assemble(ctx context.Context, order []string, known *Turn) (*Turn, error) {
	pieces, err := l.pieces(ctx, order)
	if err != nil {
		return nil, err
	}
	made := known
	for _, name := range slices.Backward(order) {
		if made, err = l.goOn(made, name, pieces); err != nil {
			return nil, err
		}
	}
	return made, nil
}

// goOn makes the turn that goes on from another one; nil: that begins.
func (l *reading) goOn(previous *Turn, name string, pieces map[piece.Reference]piece.Stored) (*Turn, error) {
	own := l.rows[name]
	if own.Owner != l.rows[l.identifier].Owner || previous != nil && previous.owner != own.Owner {
		return nil, l.broken(name, ErrForeign)
	}
	if !namesFirst(own.Ancestors, previous) {
		return nil, l.broken(name, ErrGap)
	}
	made := &Turn{identifier: name, owner: own.Owner, engine: own.Engine, previous: previous, until: own.expires}
	for _, each := range own.Parts {
		reference, names := each.reference()
		if !names {
			made.added = append(made.added, segment{bytes: each.Bytes})
			continue
		}
		stored := pieces[reference]
		made.until = min(made.until, stored.Expires)
		made.added = append(made.added, segment{bytes: stored.Content, shared: !each.Spilled})
	}
	if made.complete().digest != own.Digest {
		return nil, l.broken(name, ErrChanged)
	}
	return made, nil
}

// namesFirst tells whether the nearest of the ancestors is this turn.
func namesFirst(ancestors []string, previous *Turn) bool {
	if previous == nil {
		return len(ancestors) == 0
	}
	return len(ancestors) > 0 && ancestors[0] == previous.identifier
}

// pieces reads all pieces that the rows name.
func (l *reading) pieces(ctx context.Context, order []string) (map[piece.Reference]piece.Stored, error) {
	at := map[piece.Reference]string{}
	for _, name := range order {
		for _, each := range l.rows[name].Parts {
			if reference, names := each.reference(); names {
				at[reference] = name
			}
		}
	}
	loaded := make(map[piece.Reference]piece.Stored, len(at))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readAtOnce)
	for reference, name := range at {
		group.Go(func() error {
			stored, err := l.records.pieces.Load(ctx, reference)
			if err != nil && !state.NoVerdict(err) && ctx.Err() == nil {
				return l.broken(name, err)
			}
			l.mutex.Lock()
			loaded[reference] = stored
			l.mutex.Unlock()
			return err
		})
	}
	return loaded, group.Wait()
}
