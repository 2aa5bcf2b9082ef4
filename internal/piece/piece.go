// Package piece stores byte strings that several turns have in common. Each distinct string,
// called a piece, is stored once under its digest. Its content never changes; its expiry time
// can be extended.
//
// Guarantees: if Ensure returns no error, the store holds the piece at least until the requested
// time, even with concurrent writes by other daemons. Load returns bytes that match the
// requested digest, or an error.
package piece

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Errors of Load, in addition to those of the packages state and rowset.
var (
	// ErrNotFound means that no partition that may hold the piece has it.
	ErrNotFound = errors.New("piece not found")
	// ErrDigestMismatch means that the stored bytes do not match the digest.
	ErrDigestMismatch = errors.New("piece does not match its digest")
)

// Reference identifies a piece by digest and length.
type Reference struct {
	Digest [sha256.Size]byte
	Length int
}

// ReferenceOf returns the reference of the piece with this content.
func ReferenceOf(content []byte) Reference {
	return Reference{Digest: sha256.Sum256(content), Length: len(content)}
}

func (r Reference) name() string { return hex.EncodeToString(r.Digest[:]) }

const table = "pieces"

// Options configures a Pieces.
type Options struct {
	Store       *state.Client
	MaxRowBytes int // maximum size of a row's value in bytes
	// MaxCacheBytes bounds the total size of the pieces cached in memory.
	MaxCacheBytes int
}

// Pieces stores and loads pieces and caches them in memory. It is safe for concurrent use.
type Pieces struct {
	options Options

	mutex       sync.Mutex
	cache       *simplelru.LRU[Reference, *cachedPiece]
	cachedBytes int
}

// cachedPiece is a piece in the cache.
type cachedPiece struct {
	content []byte
	expires int64 // time until which the store holds it, in unix seconds; 0 if unknown
}

// maxCachedPieces bounds the number of cached pieces, in addition to MaxCacheBytes.
const maxCachedPieces = 4096

// New returns a Pieces with an empty cache.
func New(options Options) *Pieces {
	pieces := &Pieces{options: options}
	cache, err := simplelru.NewLRU(maxCachedPieces, func(_ Reference, evicted *cachedPiece) { pieces.cachedBytes -= len(evicted.content) })
	if err != nil {
		panic(err) // only for a size below one
	}
	pieces.cache = cache
	return pieces
}

// CachedBytes returns the total size of the cached pieces in bytes.
func (p *Pieces) CachedBytes() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cachedBytes
}

// Stored describes a piece in the store.
type Stored struct {
	Content      []byte // may be shared with the cache; must not be changed
	Expires      int64  // unix seconds after which it may be removed; 0 if unknown
	WrittenBytes int    // number of content bytes written by this call
}

// Ensure makes sure that the store holds the piece at least until neededUntil. If it has to
// write the piece, it sets the expiry time to expires, which may be later to avoid writing the
// piece again soon. Both times are in unix seconds.
func (p *Pieces) Ensure(ctx context.Context, content []byte, neededUntil, expires int64) (Stored, error) {
	reference := ReferenceOf(content)
	if cached := p.lookUp(reference); cached != nil && cached.expires >= neededUntil {
		return Stored{Content: cached.content, Expires: cached.expires}, nil
	}
	stored := Stored{Content: content}
	err := p.options.Store.Retry(ctx, func() error {
		var err error
		stored.Expires, stored.WrittenBytes, err = p.writeToAny(ctx, reference, content, neededUntil, expires)
		return err
	})
	if err != nil {
		return Stored{}, err
	}
	stored.Content = p.addToCache(reference, content, stored.Expires)
	return stored, nil
}

// writeToAny tries the partitions that may hold the piece until one gives a definite result.
func (p *Pieces) writeToAny(ctx context.Context, reference Reference, content []byte, neededUntil, expires int64) (storedExpires int64, written int, err error) {
	for _, partition := range p.options.Store.HealthyFirst(rowset.PartitionsOf(reference.name())) {
		key := state.Key{Table: table, Partition: partition, Name: reference.name()}
		storedExpires, written, err = p.writeTo(ctx, key, content, neededUntil, expires)
		if !state.IsTransient(err) {
			break
		}
	}
	return storedExpires, written, eris.Wrap(err, "store piece")
}

// maxConflicts bounds the attempts to write a piece that other daemons write at the same time.
const maxConflicts = 4

// writeTo writes the piece to a partition unless it is already stored there until neededUntil.
// The commits depend on the stored version, so that a later expiry time is not replaced by an
// earlier one, even if a commit is executed late.
func (p *Pieces) writeTo(ctx context.Context, key state.Key, content []byte, neededUntil, expires int64) (storedExpires int64, written int, err error) {
	puts, err := rowset.Split(key, content, expires, p.options.MaxRowBytes)
	if err != nil {
		return 0, 0, err
	}
	version := state.Version(0)
	for range maxConflicts {
		_, err := p.options.Store.Commit(ctx, state.Commit{
			Class: state.ClassTurn, Conditions: []state.Condition{{Key: key, Version: version}}, Puts: puts,
		})
		var conflict *state.ConflictError
		switch {
		case err == nil:
			return expires, len(content), nil
		case !errors.As(err, &conflict):
			return 0, 0, err
		}
		row, exists := conflict.Find(key)
		if !exists {
			version = 0
			continue
		}
		if storedExpires, ok := rowset.ExpiryOf(row); ok && storedExpires >= neededUntil {
			return storedExpires, 0, nil
		}
		version = row.Version
	}
	return 0, 0, eris.Wrap(state.ErrNotExecuted, "too many conflicts")
}

// Load returns a piece from the cache or the store. It returns ErrNotFound only if every
// partition that may hold the piece responded that it does not.
func (p *Pieces) Load(ctx context.Context, reference Reference) (Stored, error) {
	if cached := p.lookUp(reference); cached != nil {
		return Stored{Content: cached.content, Expires: cached.expires}, nil
	}
	var unavailableErr error
	for _, partition := range p.options.Store.HealthyFirst(rowset.PartitionsOf(reference.name())) {
		value, err := p.readFrom(ctx, reference, partition)
		switch {
		case err == nil:
			content := p.addToCache(reference, value.Bytes, value.ExpiresAt)
			return Stored{Content: content, Expires: value.ExpiresAt}, nil
		case state.IsTransient(err):
			unavailableErr = err
		case !errors.Is(err, rowset.ErrNotFound):
			return Stored{}, err
		}
	}
	if unavailableErr != nil {
		return Stored{}, unavailableErr
	}
	return Stored{}, eris.Wrapf(ErrNotFound, "load %s", reference.name())
}

func (p *Pieces) readFrom(ctx context.Context, reference Reference, partition string) (rowset.Value, error) {
	rowRange := rowset.RangeOf(state.Key{Table: table, Partition: partition, Name: reference.name()})
	rowRange.Class = state.ClassTurn
	page, err := p.options.Store.Read(ctx, rowRange)
	if err != nil {
		return rowset.Value{}, eris.Wrap(err, "read piece")
	}
	value, err := rowset.Join(reference.name(), page.Rows)
	if err != nil {
		return rowset.Value{}, eris.Wrap(err, "read piece")
	}
	if ReferenceOf(value.Bytes) != reference {
		return rowset.Value{}, eris.Wrapf(ErrDigestMismatch, "load %s", reference.name())
	}
	return value, nil
}

func (p *Pieces) lookUp(reference Reference) *cachedPiece {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cached, _ := p.cache.Get(reference)
	return cached
}

// Intern returns the cached copy of the content and adds it to the cache if it is missing. A
// piece that it adds has no known expiry time.
func (p *Pieces) Intern(content []byte) []byte {
	return p.addToCache(ReferenceOf(content), content, 0)
}

// maxPieceCacheDivisor limits the size of a cached piece to 1/maxPieceCacheDivisor of
// MaxCacheBytes. Larger pieces are shared by few turns and would evict many others.
const maxPieceCacheDivisor = 8

// addToCache adds a piece to the cache and returns the cached copy. It returns the content
// itself if it is too large for the cache.
func (p *Pieces) addToCache(reference Reference, content []byte, expires int64) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if cached, found := p.cache.Get(reference); found {
		p.cache.Add(reference, &cachedPiece{content: cached.content, expires: max(cached.expires, expires)})
		return cached.content
	}
	if len(content) > p.options.MaxCacheBytes/maxPieceCacheDivisor {
		return content
	}
	copied := append([]byte(nil), content...) // the content may be part of a larger array
	p.cache.Add(reference, &cachedPiece{content: copied, expires: expires})
	p.cachedBytes += len(copied)
	for p.cachedBytes > p.options.MaxCacheBytes && p.cache.Len() > 1 {
		p.cache.RemoveOldest()
	}
	return copied
}

// sweepPassDuration is how long one sweep over all partitions takes. It is short because only
// the sweep removes pieces.
const sweepPassDuration = 10 * time.Minute

// NewSweep returns a sweep that removes expired pieces. ownsPartition reports whether this
// daemon sweeps a partition.
func NewSweep(store *state.Client, ownsPartition func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.PartitionNames(rowset.PartitionCount), OwnsPartition: ownsPartition, Log: log, PassDuration: sweepPassDuration,
		IsExpired: func(row state.Row) bool {
			expires, ok := rowset.ExpiryOf(row)
			return ok && now().Unix() > expires
		},
	}
}
