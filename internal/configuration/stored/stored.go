// Package stored reads and writes the configuration in the transactional store. Any daemon can
// apply a change: it commits the new state on the condition that no other change was
// committed meanwhile. Every daemon watches the head row, which changes with each
// revision, and reads the new state.
//
// Guarantees: each revision is based on the previous one, no daemon goes back to an
// earlier revision, an accepted change survives the loss of all daemons, and a
// repeated change returns its first result as long as that is stored (see
// configuration.MaxAcceptedResults).
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

// Options are the parameters of a Service.
type Options struct {
	Store       *state.Client
	MaxRowBytes int // maximum size of a row's value, in bytes
	// ConfirmBound is how long a revision counts as confirmed after the last
	// answer of the store.
	ConfirmBound time.Duration
	Log          *zap.Logger           // may be nil
	Registry     prometheus.Registerer // may be nil
	// OnRevision, if not nil, is called with each revision that comes into force at
	// this daemon, in increasing order. It must not call Subscribe.
	OnRevision func(revision uint64)
}

const (
	readsPerConfirmBound = 4                     // ConfirmBound is this many times the longest wait for a change of the head
	initialRetryPause    = 30 * time.Millisecond // first pause before the store is read again
)

// Service provides the stored configuration to one daemon and applies changes to
// it. It is safe for concurrent use.
type Service struct {
	options       Options
	log           *zap.Logger
	storeAnswered watch.AnswerTime // when the store last confirmed the head
	latestKnown   atomic.Uint64
	isHeadInvalid atomic.Bool // the head that was received last cannot be decoded
	machine       atomic.Pointer[configuration.Machine]

	mutex       sync.Mutex // guards subscribers and the replacement of machine
	subscribers []chan struct{}
}

var _ configuration.Administrator = (*Service)(nil)

// New returns a service with revision 0 in force. It returns an error if Store,
// MaxRowBytes or ConfirmBound is not set, or if its metrics cannot be registered.
func New(options Options) (*Service, error) {
	if options.Store == nil || options.MaxRowBytes <= 0 || options.ConfirmBound <= 0 {
		return nil, eris.New("configuration: Store, MaxRowBytes and ConfirmBound must be set")
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.OnRevision == nil {
		options.OnRevision = func(uint64) {}
	}
	service := &Service{options: options, log: options.Log.Named("configuration")}
	service.machine.Store(configuration.NewMachine())
	return service, service.register(options.Registry)
}

// Run watches the store and puts new revisions in force, until the context ends. It
// always returns nil.
func (s *Service) Run(ctx context.Context) error {
	watch.Run(ctx, watch.Options{
		Store: s.options.Store, Table: tableHead, MaxWait: s.options.ConfirmBound / readsPerConfirmBound, Log: s.log,
		OnAnswer: s.storeAnswered.Record,
	}, follower{s, ctx})
	return nil
}

// follower passes changes of the head row on to the service.
type follower struct {
	service *Service
	ctx     context.Context //nolint:containedctx // that of Run, which the follower belongs to
}

// Replace implements watch.Follower.
func (f follower) Replace(rows []state.Row, _ state.Version) { f.Apply(rows) }

// Apply implements watch.Follower.
func (f follower) Apply(rows []state.Row) {
	for _, row := range rows {
		if row.Key != headKey || row.Removed {
			continue
		}
		var current head
		err := cbor.Unmarshal(row.Value, &current)
		f.service.isHeadInvalid.Store(err != nil)
		if err != nil {
			f.service.log.Error("configuration: the head cannot be decoded; the previous revision is not confirmed.", zap.String("error", err.Error()))
			continue
		}
		f.service.raiseLatestKnown(current.Revision)
		f.service.fetch(f.ctx)
	}
}

// raiseLatestKnown records that the store has the revision. latestKnown never falls.
func (s *Service) raiseLatestKnown(revision uint64) {
	for {
		known := s.latestKnown.Load()
		if known >= revision || s.latestKnown.CompareAndSwap(known, revision) {
			return
		}
	}
}

// fetch reads the state from the store until the latest known revision is in force or
// the context ends.
func (s *Service) fetch(ctx context.Context) {
	backoff := pause.NewBackoff(initialRetryPause, time.Second)
	for ctx.Err() == nil {
		machine, _, err := s.read(ctx)
		if err == nil {
			s.install(machine)
			if s.Current().Revision >= s.latestKnown.Load() {
				return
			}
		} else {
			s.log.Warn("configuration: cannot be read from the store; trying again.", zap.String("cause", err.Error()))
		}
		pause.Sleep(ctx, backoff.NextBackOff())
	}
}

// install puts the revision of the machine in force, if it is later than the one in
// force, and notifies the subscribers.
func (s *Service) install(machine *configuration.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := machine.Current().Revision
	if revision <= s.Current().Revision {
		return // the current revision, or an outdated read
	}
	s.machine.Store(machine)
	s.log.Info("configuration: revision in force.", zap.Uint64("revision", revision))
	s.options.OnRevision(revision)
	for _, subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Current implements configuration.Source.
func (s *Service) Current() *configuration.Snapshot { return s.machine.Load().Current() }

// Subscribe implements configuration.Source.
func (s *Service) Subscribe() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	channel := make(chan struct{}, 1)
	s.subscribers = append(s.subscribers, channel)
	return channel
}

// IsConfirmed implements configuration.Source. It reports whether the store has
// answered the watch of the head within ConfirmBound, and the latest revision known
// from the store is in force.
func (s *Service) IsConfirmed() bool {
	age, found := s.storeAnswered.Age()
	return found && !s.isHeadInvalid.Load() && age <= s.options.ConfirmBound && s.Current().Revision >= s.latestKnown.Load()
}

// HasStoreAnswered reports whether the store has answered the watch of the head at least once.
func (s *Service) HasStoreAnswered() bool {
	_, found := s.storeAnswered.Age()
	return found
}
