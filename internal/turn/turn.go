// Package turn stores the turns of conversations. A turn is an input with the output that an
// engine generated for it. It is stored under its identifier once the output is complete, and
// any number of later turns may continue it.
//
// The rows of a turn hold only what the turn adds and the identifiers of the turns before it, so
// the size of a conversation in the store is proportional to its length. A prefix that many
// first inputs share is stored once, as a piece (see package piece). A turn refers only to rows
// and pieces that exist for at least as long as the turn must be available. If the earlier rows
// or the piece expire too soon, the turn's own rows hold the bytes. Rows can therefore be
// removed when they expire, without counting references.
//
// Guarantee: until its retention ends, any process can Load a turn whose Save returned nil,
// byte for byte, even if other processes have been lost. If Load cannot determine for certain
// whether the turn exists or what it holds, it returns ErrUncertain.
package turn

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Errors of Load and Save.
var (
	// ErrNotFound means that the turn does not exist, which the store has confirmed.
	ErrNotFound = errors.New("no such turn")
	// ErrUncertain means that it is uncertain whether the turn exists or what it holds.
	ErrUncertain = errors.New("it is uncertain whether the turn exists or what it holds")
	// ErrTooLarge means that the turn cannot be stored even as pieces, since the references to
	// these pieces do not fit one commit.
	ErrTooLarge = errors.New("the turn is too large to be stored")
)

// table is the store's table for turns.
const table = "turns"

// Options are the dependencies and limits of a Repository.
type Options struct {
	Store              *state.Client
	MaxRowBytes        int              // maximum size of a row's value in bytes
	MaxCacheEntries    int              // maximum number of cached turns, without ancestors that only they hold in memory
	MaxCacheBytes      int              // maximum bytes of cached turns and their ancestors
	CacheIdleTimeout   time.Duration    // how long an unused turn stays cached
	MaxPieceCacheBytes int              // maximum bytes of shared pieces in memory
	MaxCopyBytes       int64            // maximum bytes of copies made while conversations are loaded or stored whole; 0: no limit
	Now                func() time.Time // current time
	Log                *zap.Logger      // nil means that nothing is logged
	// Peers asks other daemons for a turn in memory: the daemon that the caller of Load names,
	// and several others if the store gives no certain answer. If nil, no daemon is asked.
	Peers *Peers
	// RemovalQueue removes rows that Save wrote when they expire; nil leaves them to the sweep.
	RemovalQueue *retention.Queue
}

// Repository loads and saves turns. It is safe for concurrent use.
type Repository struct {
	options  Options
	pieces   *piece.Pieces
	cache    *cache
	prefixes *prefixIndex
	gate     *memoryGate
	metrics  *metrics
}

// NewRepository returns a Repository with empty caches.
func NewRepository(options Options) *Repository {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &Repository{
		options: options,
		pieces: piece.New(piece.Options{
			Store: options.Store, MaxRowBytes: options.MaxRowBytes, MaxCacheBytes: options.MaxPieceCacheBytes,
		}),
		cache:    newCache(options),
		prefixes: newPrefixIndex(),
		gate:     newMemoryGate(options.MaxCopyBytes),
		metrics:  newMetrics(),
	}
}

// IsCached reports whether the turn is in memory, so that Load does not need the store.
func (r *Repository) IsCached(identifier string) bool { return r.cache.peek(identifier) != nil }

// expiryMargin is how much longer than its retention a turn is available. It covers, several
// times over, clock steps of some seconds, the time for which a save is retried after its expiry
// was computed, and the retries of a caller that continues the turn at the last moment. Each
// second of margin takes as much space in the store as all daemons write in a second.
const expiryMargin = 30 * time.Second

// expiryTimes holds the expiry of what Save writes for a turn, as Unix times in seconds.
type expiryTimes struct {
	promised int64 // until that time Load must find the turn
	expires  int64 // after that time the turn's rows may be removed
	shared   int64 // after that time the turn's shared pieces may be removed
}

// rowLifetime returns how long the rows of a turn with the given retention stay in the store.
func rowLifetime(retainFor time.Duration) time.Duration { return 2*retainFor + expiryMargin }

// newExpiryTimes returns the expiry times of a turn saved now and retained for retainFor.
//
// Rows last for twice the retention plus expiryMargin. If the rows of a turn hold the whole
// conversation, all turns that continue the conversation within one retention can refer to
// them. A conversation is therefore stored whole at most once in each retention. A turn that
// continues another one only after its retention, within the margin, is always stored whole.
//
// Shared pieces last twice as long as rows, so that a piece in use is written again only after
// half of its lifetime.
func newExpiryTimes(now time.Time, retainFor time.Duration) expiryTimes {
	lifetime := rowLifetime(retainFor)
	return expiryTimes{
		promised: now.Add(retainFor + expiryMargin).Unix(),
		expires:  now.Add(lifetime).Unix(),
		shared:   now.Add(2 * lifetime).Unix(),
	}
}

// NewSweep returns a sweep that removes expired rows of turns. Daemons remove the rows that they
// wrote themselves, so the sweep mostly finds rows of daemons that were lost. isMine reports
// whether this daemon sweeps a partition.
func NewSweep(store *state.Client, isMine func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.PartitionNames(rowset.PartitionCount), OwnsPartition: isMine, Log: log, PassDuration: sweepInterval,
		IsExpired: func(row state.Row) bool { return isExpired(row, now()) },
	}
}

// sweepInterval is the time in which all daemons together sweep all partitions once. Expired rows
// of lost daemons stay in the store for up to this long. If there is nothing to remove, a
// sweep reads each partition once, which is less than one read a second.
const sweepInterval = 10 * time.Minute

// isExpired reports whether the row belongs to a turn that has expired. A row that is in neither
// the current nor the legacy format does not count as expired.
func isExpired(row state.Row, now time.Time) bool {
	expires, isTurnRow := rowset.ExpiryOf(row)
	if !isTurnRow {
		expires, isTurnRow = legacyExpiry(row)
	}
	return isTurnRow && now.Unix() > expires
}
