package turn

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

const (
	// sharePatience bounds the wait for a shared piece to be kept, several times what
	// a sound store takes: beyond it the turn holds the bytes itself, and its end is
	// not held up by a partition that is down.
	sharePatience = 200 * time.Millisecond
	// spilledAtOnce is how many pieces of a large turn are written at a time.
	spilledAtOnce = 4
)

// Save commits a turn in one of its places, to be kept for so long. It may be
// called again with the same turn after any error: each commit writes all rows of the turn anew.
func (r *Records) Save(ctx context.Context, identifier string, added Addition, keep time.Duration) error {
	until := timesOf(r.options.Now(), keep)
	shared := 0
	if added.Previous == nil {
		shared = r.beginnings.shared(added.Input)
	}
	planned := planOf(added, shared, until.promised)
	turn := &Turn{
		identifier: identifier, owner: added.Owner, engine: added.Engine,
		previous: planned.previous, added: planned.segments, until: until.expires,
	}
	parts := r.partsOf(ctx, turn, until)
	value, err := r.encode(ctx, turn.complete(), parts, until)
	if err != nil {
		return err
	}
	writing := written{identifier: identifier, value: value, expires: until.expires, lasts: rowsLast(keep)}
	if err := r.options.Store.Repeat(ctx, func() error { return r.place(ctx, writing) }); err != nil {
		return err
	}
	if planned.rebased {
		r.metrics.rebases.Inc()
		r.options.Log.Info("turn: holds its whole conversation, since the turns before it are over first.", zap.String("turn", identifier), zap.Int("bytes", turn.length))
	}
	r.remember(turn)
	return nil
}

// partsOf has the store keep what the turn shares, and lists what its rows hold. What
// cannot be kept apart soon is held by the rows.
func (r *Records) partsOf(ctx context.Context, turn *Turn, until times) []part {
	soon, cancel := context.WithTimeout(ctx, sharePatience)
	defer cancel()
	parts := make([]part, 0, len(turn.added))
	for index := range turn.added {
		each := &turn.added[index]
		if !each.shared {
			parts = append(parts, part{Bytes: each.bytes})
			continue
		}
		stored, err := r.pieces.Ensure(soon, each.bytes, until.promised, until.shared)
		if err != nil {
			r.options.Log.Info("turn: holds a shared piece itself.", zap.String("turn", turn.identifier), zap.Int("bytes", len(each.bytes)), zap.String("cause", err.Error()))
			*each = segment{bytes: append([]byte(nil), each.bytes...)}
			parts = append(parts, part{Bytes: each.bytes})
			continue
		}
		r.metrics.pieceBytes.Add(float64(stored.Written))
		each.bytes = stored.Content
		turn.until = min(turn.until, stored.Expires)
		parts = append(parts, referTo(piece.ReferenceOf(stored.Content)))
	}
	return parts
}

// encode makes the value of a turn's rows. What one commit does not hold is kept as
// pieces first; if the turn is never committed, the pieces go when their time is over.
func (r *Records) encode(ctx context.Context, turn *Turn, parts []part, until times) ([]byte, error) {
	capacity := rowset.Capacity(r.options.RowBytes)
	encoded := body{Engine: turn.engine, Owner: turn.owner, Ancestors: ancestorsAfter(turn.previous), Parts: parts, Digest: turn.digest}
	value, err := cbor.Marshal(encoded)
	if err != nil || len(value) <= capacity {
		return value, eris.Wrap(err, "encode turn")
	}
	spilled, contents := spill(parts, capacity)
	encoded.Parts = spilled
	value, err = cbor.Marshal(encoded)
	if err == nil && len(value) > capacity {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, eris.Wrap(err, "encode turn")
	}
	return value, r.keepAll(ctx, contents, until.expires)
}

// spill replaces the bytes of all parts by references to pieces, and lists the pieces.
func spill(parts []part, capacity int) (spilled []part, contents [][]byte) {
	for _, each := range parts {
		if _, names := each.reference(); names {
			spilled = append(spilled, each)
			continue
		}
		for content := range slices.Chunk(each.Bytes, capacity) {
			reference := referTo(piece.ReferenceOf(content))
			reference.Spilled = true
			spilled = append(spilled, reference)
			contents = append(contents, content)
		}
	}
	return spilled, contents
}

// keepAll has the store keep pieces for as long as the turn's rows.
func (r *Records) keepAll(ctx context.Context, contents [][]byte, expires int64) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(spilledAtOnce)
	for _, content := range contents {
		group.Go(func() error {
			stored, err := r.pieces.Ensure(ctx, content, expires, expires)
			r.metrics.pieceBytes.Add(float64(stored.Written))
			return err
		})
	}
	return eris.Wrap(group.Wait(), "keep a part of a large turn")
}

// written is a turn's rows before they are placed.
type written struct {
	identifier string
	value      []byte
	expires    int64
	lasts      time.Duration // until then
}

// place tries the turn's places until one takes it.
func (r *Records) place(ctx context.Context, writing written) error {
	var last error
	for _, partition := range r.options.Store.Prefer(rowset.PlacesOf(writing.identifier)) {
		key := state.Key{Table: table, Partition: partition, Name: writing.identifier}
		puts, err := rowset.Cut(key, writing.value, writing.expires, r.options.RowBytes)
		if err != nil {
			return eris.Wrap(err, "save turn")
		}
		_, last = r.options.Store.Commit(ctx, state.Commit{Class: state.ClassTurn, Puts: puts})
		r.removeLater(writing, puts, last == nil)
		if !state.NoVerdict(last) {
			break
		}
	}
	return eris.Wrap(last, "save turn")
}

// removeLater has rows removed when their time is over, also those of a commit without
// an answer: it may be done all the same.
func (r *Records) removeLater(writing written, puts []state.Put, acknowledged bool) {
	bytes := float64(len(writing.value))
	if acknowledged {
		r.metrics.keptBytes.Add(bytes)
	}
	if r.options.Removal == nil {
		return
	}
	batch := retention.Batch{}
	for _, put := range puts {
		batch.Keys = append(batch.Keys, put.Key)
	}
	if acknowledged {
		batch.Removed = func() { r.metrics.keptBytes.Sub(bytes) }
	}
	r.options.Removal.AddBatch(writing.lasts, batch)
}

// remember caches turns that are small enough to be worth it.
func (r *Records) remember(turn *Turn) {
	const largestShare = 4 // of the cache
	if turn.addedBytes() <= r.options.CacheBytes/largestShare {
		r.cache.add(turn)
	}
}
