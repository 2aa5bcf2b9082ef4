// Package turn keeps the turns of conversations whose history the system
// holds: each turn that was answered whole, with the history up to its end,
// found by its identifier alone. A turn may be gone on from by several others.
//
// Guarantee: a turn whose Save returned nil is found by Load at every process
// until its retention is over, whatever processes are lost.
package turn

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Errors of Load.
var (
	// ErrNotFound says that there is no such turn.
	ErrNotFound = errors.New("no such turn")
	// ErrUnsure says that the store could not tell for certain.
	ErrUnsure = errors.New("it is not certain whether the turn exists")
	// ErrTooLarge says that a history is larger than one commit can hold.
	ErrTooLarge = errors.New("the history is too large to be kept")
)

// Record is one finished turn.
type Record struct {
	History []byte `cbor:"h"` // inputs and outputs of the chain, up to the end of this turn
	Engine  string `cbor:"e"` // the instance that ran it; a hint where its prefix lies
	Expires int64  `cbor:"x"` // unix seconds from which it may be removed; set by Save
}

const (
	table      = "turns"
	partitions = 256
	// places is how many partitions a turn may lie in: a part of them may be
	// down while the others serve. A turn lies in the first that took it.
	places         = 5
	maxRowsPerTurn = 11 // a commit holds 1 MB of base64 text
	separator      = "/"
	afterSeparator = "0" // the byte after the separator: the end of a turn's rows
)

// Options of a Records.
type Options struct {
	Store        *state.Client
	RowBytes     int           // most bytes of a value
	CacheEntries int           // recent turns kept in memory
	CacheFor     time.Duration // how long
	Now          func() time.Time
	// Others is asked for a turn while a place where it may lie is not
	// answered for; nil: nobody is.
	Others *Others
	// Removal takes the rows of turns that were saved; nil: they stay.
	Removal *retention.Queue
}

// Records loads and saves turns. It is safe for concurrent use.
type Records struct {
	options Options
	cache   *expirable.LRU[string, Record]
}

// NewRecords makes the repository.
func NewRecords(options Options) *Records {
	return &Records{
		options: options,
		cache:   expirable.NewLRU[string, Record](options.CacheEntries, nil, options.CacheFor),
	}
}

// Cached tells whether Load needs no store.
func (r *Records) Cached(identifier string) bool { return r.cache.Contains(identifier) }

// Load returns a turn that was saved by any process.
func (r *Records) Load(ctx context.Context, identifier string) (Record, error) {
	if record, cached := r.cache.Get(identifier); cached {
		return record, nil
	}
	var record Record
	err := r.options.Store.Repeat(ctx, func() error {
		var err error
		record, err = r.find(ctx, identifier)
		return err
	})
	if err != nil {
		return Record{}, err
	}
	r.remember(identifier, record)
	return record, nil
}

// find looks into each place where the turn may lie. If the most likely one
// does not answer, other daemons are asked before the less likely ones.
func (r *Records) find(ctx context.Context, identifier string) (Record, error) {
	likely := placesOf(identifier)
	ordered := r.options.Store.Prefer(likely)
	if ordered[0] != likely[0] {
		if record, found := r.askOthers(ctx, identifier); found {
			return record, nil
		}
	}
	var unanswered error
	for _, partition := range ordered {
		record, err := r.read(ctx, identifier, partition)
		switch {
		case err == nil:
			return record, nil
		case state.NoVerdict(err):
			unanswered = err
		case !errors.Is(err, ErrNotFound):
			return Record{}, err
		}
	}
	if unanswered != nil {
		if record, found := r.askOthers(ctx, identifier); found {
			return record, nil
		}
		return Record{}, unanswered
	}
	return Record{}, r.confirmAbsence(ctx, identifier)
}

func (r *Records) askOthers(ctx context.Context, identifier string) (Record, bool) {
	if r.options.Others == nil {
		return Record{}, false
	}
	return r.options.Others.Recent(ctx, identifier)
}

func (r *Records) read(ctx context.Context, identifier, partition string) (Record, error) {
	page, err := r.options.Store.Read(ctx, state.Range{
		Table:     table,
		Partition: partition,
		From:      identifier,
		To:        identifier + afterSeparator,
	})
	if err != nil {
		return Record{}, eris.Wrap(err, "read turn")
	}
	return decode(identifier, page.Rows)
}

// confirmAbsence is ErrNotFound if conditions prove that the turn is in none
// of its places: readings may be behind, conditions never are.
func (r *Records) confirmAbsence(ctx context.Context, identifier string) error {
	var absent []state.Condition
	for _, partition := range placesOf(identifier) {
		absent = append(absent, state.Condition{Key: state.Key{Table: table, Partition: partition, Name: identifier}})
	}
	_, err := r.options.Store.Commit(ctx, state.Commit{Conditions: absent})
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

// expiryMargin is how much longer than asked for a turn is kept: clocks differ,
// and a caller may ask at the last moment.
const expiryMargin = 2 * time.Minute

// Save commits a turn in one of its places, to be kept for so long. It may be
// called again with the same turn after any error, since the rows are the same.
func (r *Records) Save(ctx context.Context, identifier string, record Record, keep time.Duration) error {
	record.Expires = r.options.Now().Add(keep + expiryMargin).Unix()
	value, err := cbor.Marshal(record)
	if err != nil {
		return eris.Wrap(err, "encode turn")
	}
	err = r.options.Store.Repeat(ctx, func() error { return r.place(ctx, identifier, value, keep+expiryMargin) })
	if err != nil {
		return err
	}
	r.remember(identifier, record)
	return nil
}

// place tries the turn's places until one takes it.
func (r *Records) place(ctx context.Context, identifier string, value []byte, keep time.Duration) error {
	var last error
	for _, partition := range r.options.Store.Prefer(placesOf(identifier)) {
		puts, err := rowsOf(identifier, partition, value, r.options.RowBytes)
		if err != nil {
			return err
		}
		r.removeLater(keep, puts) // also after an error: it may be done all the same
		_, last = r.options.Store.Commit(ctx, state.Commit{Puts: puts})
		if !state.NoVerdict(last) {
			break
		}
	}
	return eris.Wrap(last, "save turn")
}

func (r *Records) removeLater(after time.Duration, puts []state.Put) {
	if r.options.Removal == nil {
		return
	}
	var keys []state.Key
	for _, put := range puts {
		keys = append(keys, put.Key)
	}
	r.options.Removal.Add(after, keys...)
}

// remember caches turns that are small enough to be worth it.
func (r *Records) remember(identifier string, record Record) {
	const largestCached = 1 << 17
	if len(record.History) <= largestCached {
		r.cache.Add(identifier, record)
	}
}

// Leftovers sweeps turns that lost daemons left behind. mine tells which
// partitions this daemon sweeps.
func Leftovers(store *state.Client, mine func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.Partitions(partitions), Mine: mine, Log: log,
		Over: func(row state.Row) bool { return isOver(row, now()) },
	}
}

// isOver tells whether a row is the first of a turn that expired. Rows that
// continue a turn are removed by its writer only; they hold no time.
func isOver(row state.Row, now time.Time) bool {
	if strings.Contains(row.Key.Name, separator) {
		return false
	}
	var record struct {
		Expires int64 `cbor:"x"`
	}
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return false
	}
	return record.Expires > 0 && now.Unix() > record.Expires
}
