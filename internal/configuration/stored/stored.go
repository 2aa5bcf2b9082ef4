// Package stored keeps the configuration in the transactional store: any
// daemon decides on a change and commits it on condition of the revision that
// it was decided on, and every daemon follows the head row.
//
// Guarantees: revisions have one order, an accepted change outlasts the loss
// of all daemons, and a repeat of a change finds the first's result.
package stored

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// Options of a Service.
type Options struct {
	Store    *state.Client
	RowBytes int // most bytes of a value
	// ConfirmBound is for how long a revision counts as confirmed after the
	// store was last heard.
	ConfirmBound time.Duration
	Log          *zap.Logger           // may be nil
	Registry     prometheus.Registerer // may be nil
	// OnRevision, if given, hears each revision that came into force here.
	OnRevision func(revision uint64)
}

// The tables. The content has a table of its own, so that those who follow
// the head do not get it with every change.
const (
	tableHead    = "configuration"
	tableContent = "configuration-content"
	nameHead     = "head"
)

const (
	confirmationsPerBound = 4 // tries to hear of the head within one bound
	changeTimeout         = 10 * time.Second
	unavailableRetry      = time.Second
	readPause             = 30 * time.Millisecond
	mostRowsTogether      = 90
	mostBytesTogether     = 640 << 10
)

// head is the row on whose version every change hangs.
type head struct {
	Revision uint64 `cbor:"r"`
	Name     string `cbor:"n"` // of the content's rows
	Rows     int    `cbor:"c"`
	Nonce    uint64 `cbor:"x"`
}

var headKey = state.Key{Table: tableHead, Name: nameHead}

// Service is one daemon's part. It is safe for concurrent use.
type Service struct {
	options Options
	log     *zap.Logger
	heard   atomic.Int64 // unix nanoseconds when the store last told of the head; 0: never
	known   atomic.Uint64
	machine atomic.Pointer[configuration.Machine]

	mutex       sync.Mutex // one adoption at a time
	subscribers []chan struct{}
}

var _ configuration.Administrator = (*Service)(nil)

// New makes a service that knows revision 0.
func New(options Options) (*Service, error) {
	if options.Store == nil || options.RowBytes <= 0 || options.ConfirmBound <= 0 {
		return nil, eris.New("configuration: store, size of rows and confirm bound are needed")
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.OnRevision == nil {
		options.OnRevision = func(uint64) {}
	}
	made := &Service{options: options, log: options.Log.Named("configuration")}
	made.machine.Store(configuration.NewMachine())
	return made, made.register(options.Registry)
}

// Run follows the configuration until the context ends.
func (s *Service) Run(ctx context.Context) error {
	watch.Run(ctx, watch.Options{
		Store: s.options.Store, Table: tableHead, Wait: s.options.ConfirmBound / confirmationsPerBound, Log: s.log,
		OnHeard: func() { s.heard.Store(time.Now().UnixNano()) },
	}, follower{s, ctx})
	return nil
}

// follower takes the head in.
type follower struct {
	service *Service
	ctx     context.Context //nolint:containedctx // that of Run, which the follower belongs to
}

// Replace implements watch.Follower.
func (f follower) Replace(rows []state.Row, _ state.Version) { f.Change(rows) }

// Change implements watch.Follower.
func (f follower) Change(rows []state.Row) {
	for _, row := range rows {
		var told head
		if row.Key != headKey || row.Removed || cbor.Unmarshal(row.Value, &told) != nil {
			continue
		}
		f.service.known.Store(max(f.service.known.Load(), told.Revision))
		f.service.fetch(f.ctx)
	}
}

// fetch reads the present content until it is in force here.
func (s *Service) fetch(ctx context.Context) {
	schedule := pause.Growing(readPause, time.Second)
	for ctx.Err() == nil {
		found, _, err := s.read(ctx)
		if err == nil {
			s.adopt(found)
			if s.Current().Revision >= s.known.Load() {
				return
			}
		} else {
			s.log.Warn("configuration: cannot be read.", zap.String("cause", err.Error()))
		}
		pause.For(ctx, schedule.NextBackOff())
	}
}

// adopt puts a later revision in force.
func (s *Service) adopt(found *configuration.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := found.Current().Revision
	if revision <= s.Current().Revision {
		return // the present one, or a reading that is behind
	}
	s.machine.Store(found)
	s.log.Info("configuration: revision in force.", zap.Uint64("revision", revision))
	s.options.OnRevision(revision)
	for _, subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Current is part of configuration.Source.
func (s *Service) Current() *configuration.Snapshot { return s.machine.Load().Current() }

// Subscribe is part of configuration.Source.
func (s *Service) Subscribe() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added := make(chan struct{}, 1)
	s.subscribers = append(s.subscribers, added)
	return added
}

// Confirmed is part of configuration.Source: the store told within the bound
// which revision is the latest, and that one is in force here.
func (s *Service) Confirmed() bool {
	age, heard := s.age()
	return heard && age <= s.options.ConfirmBound && s.Current().Revision >= s.known.Load()
}

// Heard tells whether the store was heard since the start.
func (s *Service) Heard() bool {
	_, heard := s.age()
	return heard
}

func (s *Service) age() (time.Duration, bool) {
	at := s.heard.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

// read gives a machine with the store's state, and the head that it hangs on.
func (s *Service) read(ctx context.Context) (*configuration.Machine, state.Row, error) {
	var page state.Page
	err := s.options.Store.Repeat(ctx, func() error {
		var err error
		page, err = s.options.Store.Read(ctx, state.Single(headKey))
		return err
	})
	if err != nil {
		return nil, state.Row{}, eris.Wrap(err, "read the head of the configuration")
	}
	machine := configuration.NewMachine()
	if len(page.Rows) == 0 {
		return machine, state.Row{Key: headKey}, nil
	}
	row := page.Rows[0]
	var told head
	if err := cbor.Unmarshal(row.Value, &told); err != nil {
		return nil, row, eris.Wrap(err, "decode the head of the configuration")
	}
	content, err := s.readContent(ctx, told)
	if err != nil {
		return nil, row, err
	}
	return machine, row, eris.Wrap(machine.Restore(content), "restore the configuration")
}

// readContent gives what the head names. A later change may have removed it
// meanwhile; then the head is read again.
func (s *Service) readContent(ctx context.Context, told head) ([]byte, error) {
	var content []byte
	from, found := told.Name, 0
	for {
		var page state.Page
		err := s.options.Store.Repeat(ctx, func() error {
			var err error
			page, err = s.options.Store.Read(ctx, state.Range{Table: tableContent, From: from, To: told.Name + "~"})
			return err
		})
		if err != nil {
			return nil, eris.Wrap(err, "read the configuration")
		}
		for _, row := range page.Rows {
			content = append(content, row.Value...)
			found++
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
	if found != told.Rows {
		return nil, eris.Errorf("read the configuration: %d of %d rows of revision %d", found, told.Rows, told.Revision)
	}
	return content, nil
}

// Change is part of configuration.Administrator. The change is decided on the
// state that the store holds, and counts once its commit is acknowledged. A
// commit without an answer is told by the next reading: the state remembers
// the changes' identifiers.
func (s *Service) Change(parent context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	schedule := pause.Growing(readPause, time.Second)
	uncertain := false
	for {
		result, err := s.tryChange(ctx, change)
		if err == nil {
			return result, nil
		}
		uncertain = uncertain || errors.Is(err, state.ErrUnknown)
		if !pause.For(ctx, schedule.NextBackOff()) {
			return configuration.ChangeResult{}, undecided(err, uncertain)
		}
	}
}

func withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	if _, found := parent.Deadline(); found {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, changeTimeout)
}

// undecided is the error of a change whose time was over.
func undecided(err error, uncertain bool) error {
	if uncertain {
		return errors.Join(configuration.ErrChangeUncertain, err)
	}
	return problem.New(problem.KindUnavailable, "change the configuration", "%v", err).
		WithOutcome(problem.OutcomeNotRun).WithRetryAfter(unavailableRetry)
}

// tryChange decides once. An error says that it has to be decided again.
func (s *Service) tryChange(ctx context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	machine, row, err := s.read(ctx)
	if err != nil {
		return configuration.ChangeResult{}, err
	}
	change.At = time.Now()
	command, err := configuration.EncodeChange(machine.Current().Reduced(change))
	if err != nil {
		return configuration.ChangeResult{Revision: machine.Current().Revision, Faults: []string{err.Error()}}, nil //nolint:nilerr // told in the result
	}
	before := machine.Current().Revision
	result, good := machine.Apply(0, command).(*configuration.ChangeResult)
	if !good {
		return configuration.ChangeResult{}, eris.New("the machine of the configuration gave no result")
	}
	if machine.Current().Revision == before {
		return *result, s.check(ctx, row) // a reading may be behind, a condition never is
	}
	if err := s.write(ctx, row, machine); err != nil {
		return configuration.ChangeResult{}, err
	}
	s.known.Store(max(s.known.Load(), machine.Current().Revision))
	s.adopt(machine)
	return *result, nil
}

// check proves that the head is still the newest.
func (s *Service) check(ctx context.Context, row state.Row) error {
	_, err := s.options.Store.Commit(ctx, state.Commit{Conditions: []state.Condition{{Key: headKey, Version: row.Version}}})
	return eris.Wrap(err, "check the head of the configuration")
}

// write puts the content in rows of its own, and then the head that names them.
func (s *Service) write(ctx context.Context, former state.Row, machine *configuration.Machine) error {
	content, err := machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	next := head{Revision: machine.Current().Revision, Nonce: rand.Uint64()}
	next.Name = fmt.Sprintf("%016x-%016x/", next.Revision, next.Nonce)
	var puts []state.Put
	for piece := range slices.Chunk(content, s.options.RowBytes) {
		puts = append(puts, state.Put{Key: state.Key{Table: tableContent, Name: next.Name + fmt.Sprintf("%06x", len(puts))}, Value: piece})
	}
	next.Rows = len(puts)
	if err := s.writeContent(ctx, puts); err != nil {
		return err
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode the head of the configuration")
	}
	_, err = s.options.Store.Commit(ctx, state.Commit{
		Conditions: []state.Condition{{Key: headKey, Version: former.Version}},
		Puts:       []state.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		return eris.Wrap(err, "write the head of the configuration")
	}
	s.clean(ctx, next)
	return nil
}

func (s *Service) writeContent(ctx context.Context, puts []state.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < mostRowsTogether && (count == 0 || size+len(puts[count].Value) <= mostBytesTogether) {
			size += len(puts[count].Value)
			count++
		}
		if _, err := s.options.Store.Commit(ctx, state.Commit{Puts: puts[:count]}); err != nil {
			if errors.Is(err, state.ErrUnknown) {
				return eris.Wrap(state.ErrNotDone, "write the configuration: its rows are not named yet")
			}
			return eris.Wrap(err, "write the configuration")
		}
		puts = puts[count:]
	}
	return nil
}

// keptRevisions is how many former contents stay, for readers under way.
const keptRevisions = 3

// clean removes contents that no head will name any more.
func (s *Service) clean(ctx context.Context, current head) {
	if current.Revision <= keptRevisions {
		return
	}
	oldest := fmt.Sprintf("%016x", current.Revision-keptRevisions)
	page, err := s.options.Store.Read(ctx, state.Range{Table: tableContent, To: oldest, Limit: mostRowsTogether})
	if err != nil || len(page.Rows) == 0 {
		return
	}
	var keys []state.Key
	for _, row := range page.Rows {
		if strings.Contains(row.Key.Name, "/") {
			keys = append(keys, row.Key)
		}
	}
	_, _ = s.options.Store.Commit(ctx, state.Commit{Removals: keys}) // what stays is removed the next time
}

// History is part of configuration.Administrator.
func (s *Service) History(parent context.Context, limit int) ([]configuration.Revision, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	machine, _, err := s.read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	return machine.History(limit), nil
}
