// Package piece keeps byte strings that several turns share, each once, under its
// digest. A piece never changes; what changes is until when it is kept.
//
// Guarantees: Ensure returns nil only if the store holds the piece at least until
// the time asked for, whatever other daemons write meanwhile; Load returns bytes of
// the digest asked for, or an error.
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

// Errors of Load, besides those of the store and of rowset.
var (
	// ErrMissing says that the piece is in none of its places.
	ErrMissing = errors.New("a piece is not there")
	// ErrDiffers says that what is kept under a digest has another one.
	ErrDiffers = errors.New("a piece differs from its digest")
)

// Reference names a piece.
type Reference struct {
	Digest [sha256.Size]byte
	Length int
}

// ReferenceOf names the piece that holds these bytes.
func ReferenceOf(content []byte) Reference {
	return Reference{Digest: sha256.Sum256(content), Length: len(content)}
}

func (r Reference) name() string { return hex.EncodeToString(r.Digest[:]) }

const table = "pieces"

// Options of a Pieces.
type Options struct {
	Store    *state.Client
	RowBytes int // most bytes of a value
	// CacheBytes bounds the pieces in memory.
	CacheBytes int
}

// Pieces loads and keeps pieces. It is safe for concurrent use.
type Pieces struct {
	options Options

	mutex sync.Mutex
	known *simplelru.LRU[Reference, *kept]
	bytes int
}

// kept is a piece in memory.
type kept struct {
	content []byte
	expires int64 // the store holds it until then, in unix seconds
}

// mostKnown bounds the pieces in memory besides their bytes.
const mostKnown = 4096

// New makes the repository.
func New(options Options) *Pieces {
	made := &Pieces{options: options}
	known, err := simplelru.NewLRU(mostKnown, func(_ Reference, gone *kept) { made.bytes -= len(gone.content) })
	if err != nil {
		panic(err) // only for a size below one
	}
	made.known = known
	return made
}

// Bytes is how many bytes of pieces are in memory.
func (p *Pieces) Bytes() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.bytes
}

// Stored is a piece that the store holds.
type Stored struct {
	Content []byte // shared: not to be changed
	Expires int64  // unix seconds from which it may be removed
	Written int    // bytes that this call wrote
}

// Ensure has the store hold a piece until needed or longer. A piece that has to be
// written is kept until expires, so that it is not written anew too soon.
func (p *Pieces) Ensure(ctx context.Context, content []byte, needed, expires int64) (Stored, error) {
	reference := ReferenceOf(content)
	if known := p.find(reference); known != nil && known.expires >= needed {
		return Stored{Content: known.content, Expires: known.expires}, nil
	}
	stored := Stored{Content: content}
	err := p.options.Store.Repeat(ctx, func() error {
		var err error
		stored.Expires, stored.Written, err = p.place(ctx, reference, content, needed, expires)
		return err
	})
	if err != nil {
		return Stored{}, err
	}
	stored.Content = p.remember(reference, content, stored.Expires)
	return stored, nil
}

// place tries the piece's places until one takes it.
func (p *Pieces) place(ctx context.Context, reference Reference, content []byte, needed, expires int64) (until int64, written int, err error) {
	for _, partition := range p.options.Store.Prefer(rowset.PlacesOf(reference.name())) {
		key := state.Key{Table: table, Partition: partition, Name: reference.name()}
		until, written, err = p.write(ctx, key, content, needed, expires)
		if !state.NoVerdict(err) {
			break
		}
	}
	return until, written, eris.Wrap(err, "keep piece")
}

// mostConflicts bounds how often a piece is tried to be written while others do.
const mostConflicts = 4

// write puts a piece where it is not kept for long enough. The condition keeps one
// who asks for less time, or a late commit, from shortening the time that another
// daemon was promised.
func (p *Pieces) write(ctx context.Context, key state.Key, content []byte, needed, expires int64) (until int64, written int, err error) {
	puts, err := rowset.Cut(key, content, expires, p.options.RowBytes)
	if err != nil {
		return 0, 0, err
	}
	version := state.Version(0)
	for range mostConflicts {
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
		found, exists := conflict.Find(key)
		if !exists {
			version = 0
			continue
		}
		if until, ours := rowset.Expires(found); ours && until >= needed {
			return until, 0, nil
		}
		version = found.Version
	}
	return 0, 0, eris.Wrap(state.ErrNotDone, "keep piece: too many conflicts")
}

// Load returns a piece.
func (p *Pieces) Load(ctx context.Context, reference Reference) (Stored, error) {
	if known := p.find(reference); known != nil {
		return Stored{Content: known.content, Expires: known.expires}, nil
	}
	var unanswered error
	for _, partition := range p.options.Store.Prefer(rowset.PlacesOf(reference.name())) {
		value, err := p.read(ctx, reference, partition)
		switch {
		case err == nil:
			content := p.remember(reference, value.Bytes, value.Expires)
			return Stored{Content: content, Expires: value.Expires}, nil
		case state.NoVerdict(err):
			unanswered = err
		case !errors.Is(err, rowset.ErrAbsent):
			return Stored{}, err
		}
	}
	if unanswered != nil {
		return Stored{}, unanswered
	}
	return Stored{}, eris.Wrapf(ErrMissing, "piece %s", reference.name())
}

func (p *Pieces) read(ctx context.Context, reference Reference, partition string) (rowset.Value, error) {
	selected := rowset.Range(state.Key{Table: table, Partition: partition, Name: reference.name()})
	selected.Class = state.ClassTurn
	page, err := p.options.Store.Read(ctx, selected)
	if err != nil {
		return rowset.Value{}, eris.Wrap(err, "read piece")
	}
	value, err := rowset.Join(reference.name(), page.Rows)
	if err != nil {
		return rowset.Value{}, eris.Wrap(err, "read piece")
	}
	if ReferenceOf(value.Bytes) != reference {
		return rowset.Value{}, eris.Wrapf(ErrDiffers, "piece %s", reference.name())
	}
	return value, nil
}

func (p *Pieces) find(reference Reference) *kept {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found, _ := p.known.Get(reference)
	return found
}

// Share returns the copy of a piece that all share in memory, and takes in one that is
// not there yet. Nothing is known of how long the store keeps it.
func (p *Pieces) Share(content []byte) []byte {
	return p.remember(ReferenceOf(content), content, 0)
}

// largestCached is the part of the memory for pieces that one may take: the parts of a
// turn that one commit does not hold are shared by few, and would displace many.
const largestCached = 8

// remember keeps a piece in memory and returns the copy that all share.
func (p *Pieces) remember(reference Reference, content []byte, expires int64) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.known.Get(reference); found {
		p.known.Add(reference, &kept{content: known.content, expires: max(known.expires, expires)})
		return known.content
	}
	if len(content) > p.options.CacheBytes/largestCached {
		return content
	}
	own := append([]byte(nil), content...) // the caller's bytes may be a part of more
	p.known.Add(reference, &kept{content: own, expires: expires})
	p.bytes += len(own)
	for p.bytes > p.options.CacheBytes && p.known.Len() > 1 {
		p.known.RemoveOldest()
	}
	return own
}

// sweepEvery is how long a pass over the pieces takes: nobody but the sweep removes
// a piece, so that what is over stays for a part of the time that it was kept.
const sweepEvery = 10 * time.Minute

// Leftovers sweeps pieces whose time is over. mine tells which partitions this
// daemon sweeps.
func Leftovers(store *state.Client, mine func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.Partitions(rowset.Partitions), Mine: mine, Log: log, Every: sweepEvery,
		Over: func(row state.Row) bool {
			expires, ours := rowset.Expires(row)
			return ours && now().Unix() > expires
		},
	}
}
