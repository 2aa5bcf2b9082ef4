// Package stored keeps the configuration in the transactional store: any
// daemon decides on a change and commits it on condition of the revision that
// it was decided on, and every daemon follows the head row.
//
// Guarantees: revisions have one order, an accepted change outlasts the loss
// of all daemons, and a repeat of a change finds the first's result.
package stored

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/pause"
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

const (
	confirmationsPerBound = 4                     // tries to hear of the head within one bound
	readPause             = 30 * time.Millisecond // first pause before a reading is tried again
)

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
		Store: s.options.Store, Table: tableHead, MaxWait: s.options.ConfirmBound / confirmationsPerBound, Log: s.log,
		OnAnswer: func() { s.heard.Store(time.Now().UnixNano()) },
	}, follower{s, ctx})
	return nil
}

// follower takes the head in.
type follower struct {
	service *Service
	ctx     context.Context //nolint:containedctx // that of Run, which the follower belongs to
}

// Replace implements watch.Follower.
func (f follower) Replace(rows []state.Row, _ state.Version) { f.Apply(rows) }

// Apply implements watch.Follower.
func (f follower) Apply(rows []state.Row) {
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
	schedule := pause.NewBackoff(readPause, time.Second)
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
		pause.Sleep(ctx, schedule.NextBackOff())
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
