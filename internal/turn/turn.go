// Package turn keeps the turns of conversations whose history the system
// holds: each turn that was answered whole, found by its identifier alone. A turn
// may be gone on from by several others.
//
// A turn's rows hold what the turn adds and name the turns before it, so that the
// bytes kept of a conversation grow with what is said in it. What many first inputs
// begin with is kept once, as a piece (package piece). A turn refers only to rows and
// pieces that are kept at least as long as the turn itself is promised; where that
// cannot be had, its own rows hold the bytes. So rows are removed by their own time
// alone, and nothing is counted.
//
// Guarantee: a turn whose Save returned nil is found by Load at every process,
// byte for byte, until its retention is over, whatever processes are lost; where that
// cannot be told for certain, Load returns ErrUnsure.
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
	// ErrNotFound says that there is no such turn.
	ErrNotFound = errors.New("no such turn")
	// ErrUnsure says that it could not be told for certain whether the turn exists, or what it holds.
	ErrUnsure = errors.New("it is not certain whether the turn exists or what it holds")
	// ErrTooLarge says that not even the names of a turn's pieces fit one commit.
	ErrTooLarge = errors.New("the history is too large to be kept")
)

const table = "turns"

// Options of a Records.
type Options struct {
	Store        *state.Client
	RowBytes     int           // most bytes of a value
	CacheEntries int           // recent turns kept in memory
	CacheBytes   int           // bytes that they add, at most
	CacheFor     time.Duration // how long after their last use
	PieceBytes   int           // bytes of shared pieces kept in memory, at most
	Now          func() time.Time
	Log          *zap.Logger // nil: nothing is logged
	// Others is asked for a turn by name of a daemon, and while a place where the turn
	// may lie is not answered for; nil: nobody is.
	Others *Others
	// Removal takes the rows of turns that were saved; nil: they stay.
	Removal *retention.Queue
}

// Records loads and saves turns. It is safe for concurrent use.
type Records struct {
	options    Options
	pieces     *piece.Pieces
	cache      *cache
	beginnings *beginnings
	metrics    *metrics
}

// NewRecords makes the repository.
func NewRecords(options Options) *Records {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &Records{
		options: options,
		pieces: piece.New(piece.Options{
			Store: options.Store, RowBytes: options.RowBytes, CacheBytes: options.PieceBytes,
		}),
		cache:      newCache(options),
		beginnings: newBeginnings(),
		metrics:    newMetrics(),
	}
}

// Cached tells whether Load needs no store.
func (r *Records) Cached(identifier string) bool { return r.cache.peek(identifier) != nil }

// expiryMargin is how much longer than asked for a turn is kept. It covers, several
// times, that clocks of machines step by some seconds, that a record is tried for some
// seconds after its time was set, and that a caller who asks at the last moment is
// refused a few times first. Each second of it takes as much room in the store as all
// daemons write in a second.
const expiryMargin = 30 * time.Second

// times are until when what a turn writes is kept, in unix seconds.
type times struct {
	promised int64 // the turn is found until then
	expires  int64 // its rows may be removed from then on
	shared   int64 // pieces that others may refer to may be removed from then on
}

// rowsLast is how long a turn's rows are kept.
func rowsLast(keep time.Duration) time.Duration { return 2*keep + expiryMargin }

// timesOf gives rows twice the time asked for, and one margin: a turn that goes on from this
// one until keep is over can still refer to it (within the margin after that it is written whole), and a
// conversation is written anew once in that time at most. Shared pieces last twice as long as rows, so that each is
// written anew only after half of its time.
func timesOf(now time.Time, keep time.Duration) times {
	lasts := rowsLast(keep)
	return times{
		promised: now.Add(keep + expiryMargin).Unix(),
		expires:  now.Add(lasts).Unix(),
		shared:   now.Add(2 * lasts).Unix(),
	}
}

// Leftovers sweeps turns that lost daemons left behind. mine tells which
// partitions this daemon sweeps.
func Leftovers(store *state.Client, mine func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.Partitions(rowset.Partitions), Mine: mine, Log: log, Every: sweepEvery,
		Over: func(row state.Row) bool { return isOver(row, now()) },
	}
}

// sweepEvery is how long a pass over all turns takes, all daemons together: what lost
// daemons left takes room for as long. A pass without anything to remove is one
// reading for each partition, less than one a second.
const sweepEvery = 10 * time.Minute

func isOver(row state.Row, now time.Time) bool {
	expires, ours := rowset.Expires(row)
	if !ours {
		expires, ours = formerExpiry(row)
	}
	return ours && now.Unix() > expires
}
