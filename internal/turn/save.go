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
	// sharedPieceTimeout bounds the time for storing the shared pieces of a turn, so that a
	// partition that is down does not delay the end of the turn. If it passes, the turn's own
	// rows hold the bytes. A healthy store answers several times faster.
	sharedPieceTimeout = 200 * time.Millisecond
	// maxConcurrentSpills is how many pieces of a large turn are written at the same time. Fewer are
	// written if MaxCopyBytes has no room for the copies of so many.
	maxConcurrentSpills = 4
)

// IsLarge reports whether a turn with so many bytes is stored as pieces, since it does not fit one commit.
// The repository itself bounds the copies that are made while such a turn is saved.
func (r *Repository) IsLarge(bytes int) bool { return bytes > rowset.Capacity(r.options.MaxRowBytes) }

// Save stores a turn under the identifier and retains it for at least retainFor. If it fails, it may
// be called again with the same turn, since each call writes all rows of the turn. The error
// is ErrTooLarge, ErrNoMemory, or an error of the store or of the context.
func (r *Repository) Save(ctx context.Context, identifier string, added Addition, retainFor time.Duration) error {
	expiry := newExpiryTimes(r.options.Now(), retainFor)
	shared := 0
	if added.Previous == nil {
		shared = r.prefixes.sharedLength(added.Input)
	}
	passage, err := r.enterGate(ctx, added, expiry.promised)
	if err != nil {
		return err
	}
	defer passage.leave()
	planned := newPlan(added, shared, expiry.promised)
	turn := &Turn{
		identifier: identifier, owner: added.Tenant, engine: added.Engine,
		previous: planned.previous, added: planned.segments, expiry: expiry.expires,
	}
	parts := r.storeParts(ctx, turn, expiry)
	value, err := r.encode(ctx, turn.complete(), parts, expiry)
	if err != nil {
		return err
	}
	pending := pendingRows{identifier: identifier, value: value, expires: expiry.expires, lifetime: rowLifetime(retainFor)}
	if err := r.options.Store.Retry(ctx, func() error { return r.writeRows(ctx, pending) }); err != nil {
		return err
	}
	if planned.isRebased {
		r.metrics.rebases.Inc()
		r.options.Log.Info("turn: its rows hold the whole conversation, since earlier turns expire too soon.", zap.String("turn", identifier), zap.Int("bytes", turn.length))
	}
	r.addToCache(turn)
	return nil
}

// enterGate waits until there is room for the copies of what is stored, if that is a whole conversation or
// large.
func (r *Repository) enterGate(ctx context.Context, added Addition, promised int64) (*passage, error) {
	own := len(added.Input) + len(added.Output)
	switch {
	case added.needsRebase(promised):
		return r.gate.enter(ctx, int64(added.Previous.Size()+own))
	case r.IsLarge(own):
		return r.gate.enter(ctx, int64(own))
	default:
		return nil, nil
	}
}

// storeParts stores the shared segments of the turn as pieces and returns the parts for its rows.
// If a piece cannot be stored within sharedPieceTimeout, its part holds the bytes instead.
func (r *Repository) storeParts(ctx context.Context, turn *Turn, expiry expiryTimes) []part {
	shortCtx, cancel := context.WithTimeout(ctx, sharedPieceTimeout)
	defer cancel()
	parts := make([]part, 0, len(turn.added))
	for index := range turn.added {
		each := &turn.added[index]
		if !each.shared {
			parts = append(parts, part{Bytes: each.bytes})
			continue
		}
		stored, err := r.pieces.Ensure(shortCtx, each.bytes, expiry.promised, expiry.shared)
		if err != nil {
			r.options.Log.Info("turn: a shared piece was not stored, so the turn's rows hold its bytes.", zap.String("turn", turn.identifier), zap.Int("bytes", len(each.bytes)), zap.String("cause", err.Error()))
			*each = segment{bytes: append([]byte(nil), each.bytes...)}
			parts = append(parts, part{Bytes: each.bytes})
			continue
		}
		r.metrics.pieceBytes.Add(float64(stored.WrittenBytes))
		each.bytes = stored.Content
		turn.expiry = min(turn.expiry, stored.Expires)
		parts = append(parts, referencePart(piece.ReferenceOf(stored.Content)))
	}
	return parts
}

// encode returns the encoded body of the turn's rows. If the body does not fit one commit, encode
// stores the bytes of all parts as pieces and returns a body that refers to them. If the turn
// is never committed, these pieces are removed when they expire. The error is ErrTooLarge or
// an error of the store.
func (r *Repository) encode(ctx context.Context, turn *Turn, parts []part, expiry expiryTimes) ([]byte, error) {
	capacity := rowset.Capacity(r.options.MaxRowBytes)
	encoded := body{Engine: turn.engine, Owner: turn.owner, Ancestors: ancestorNames(turn.previous), Parts: parts, Digest: turn.digest}
	if !r.IsLarge(ownBytes(parts)) {
		value, err := cbor.Marshal(encoded)
		if err != nil || len(value) <= capacity {
			return value, eris.Wrap(err, "encode turn")
		}
	}
	spilled, contents := spill(parts, capacity)
	encoded.Parts = spilled
	value, err := cbor.Marshal(encoded)
	if err == nil && len(value) > capacity {
		err = ErrTooLarge
	}
	if err != nil {
		return nil, eris.Wrap(err, "encode turn")
	}
	return value, r.storePieces(ctx, contents, expiry.expires)
}

// ownBytes returns the size of the parts that hold bytes.
func ownBytes(parts []part) (sum int) {
	for _, each := range parts {
		sum += len(each.Bytes)
	}
	return sum
}

// spill replaces parts that hold bytes by references to pieces of at most capacity bytes. It returns
// the resulting parts and the contents of the new pieces.
func spill(parts []part, capacity int) (spilled []part, contents [][]byte) {
	for _, each := range parts {
		if _, isReference := each.reference(); isReference {
			spilled = append(spilled, each)
			continue
		}
		for content := range slices.Chunk(each.Bytes, capacity) {
			reference := referencePart(piece.ReferenceOf(content))
			reference.Spilled = true
			spilled = append(spilled, reference)
			contents = append(contents, content)
		}
	}
	return spilled, contents
}

// storePieces stores a piece for each of the contents. expires is the expiry of the turn's rows, a
// Unix time in seconds, at which the pieces expire as well.
func (r *Repository) storePieces(ctx context.Context, contents [][]byte, expires int64) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(r.concurrentSpills())
	for _, content := range contents {
		group.Go(func() error {
			stored, err := r.pieces.Ensure(ctx, content, expires, expires)
			r.metrics.pieceBytes.Add(float64(stored.WrittenBytes))
			return err
		})
	}
	return eris.Wrap(group.Wait(), "store a piece of a large turn")
}

// concurrentSpills returns how many pieces are written at the same time.
func (r *Repository) concurrentSpills() int {
	if r.options.MaxCopyBytes <= 0 {
		return maxConcurrentSpills
	}
	copies := int64(copiesWhileLoading * rowset.Capacity(r.options.MaxRowBytes))
	return int(min(max(r.options.MaxCopyBytes/copies, 1), maxConcurrentSpills))
}

// pendingRows is the encoded content of a turn's rows before they are written.
type pendingRows struct {
	identifier string
	value      []byte
	expires    int64         // Unix time in seconds
	lifetime   time.Duration // time from the start of Save until expires
}

// writeRows commits the rows to one of the turn's possible partitions. It tries the next partition
// only if one does not answer.
func (r *Repository) writeRows(ctx context.Context, pending pendingRows) error {
	var last error
	for _, partition := range r.options.Store.HealthyFirst(rowset.PartitionsOf(pending.identifier)) {
		key := state.Key{Table: table, Partition: partition, Name: pending.identifier}
		puts, err := rowset.Split(key, pending.value, pending.expires, r.options.MaxRowBytes)
		if err != nil {
			return eris.Wrap(err, "save turn")
		}
		_, last = r.options.Store.Commit(ctx, state.Commit{Class: state.ClassTurn, Puts: puts})
		r.scheduleRemoval(pending, puts, last == nil)
		if !state.IsTransient(last) {
			break
		}
	}
	return eris.Wrap(last, "save turn")
}

// scheduleRemoval schedules the removal of the rows when they expire. This includes rows whose
// commit was not acknowledged, since the store may have written them nevertheless.
func (r *Repository) scheduleRemoval(pending pendingRows, puts []state.Put, acknowledged bool) {
	bytes := float64(len(pending.value))
	if acknowledged {
		r.metrics.keptBytes.Add(bytes)
	}
	if r.options.RemovalQueue == nil {
		return
	}
	batch := retention.Batch{}
	for _, put := range puts {
		batch.Keys = append(batch.Keys, put.Key)
	}
	if acknowledged {
		batch.OnRemoved = func() { r.metrics.keptBytes.Sub(bytes) }
	}
	r.options.RemovalQueue.AddBatch(pending.lifetime, batch)
}

// addToCache caches a turn, unless it would take more than a quarter of the cache.
func (r *Repository) addToCache(turn *Turn) {
	const minTurnsInCache = 4
	if turn.addedBytes() <= r.options.MaxCacheBytes/minTurnsInCache {
		r.cache.add(turn)
	}
}
