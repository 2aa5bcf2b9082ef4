package softwareversion

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Options are the dependencies of a History. All are required.
type Options struct {
	Store state.Store
	// Services returns the services of which versions are recorded: those of resumable routes.
	Services func() []string
	// Engines returns the engines that this daemon knows, including those that are leaving.
	Engines func() []Engine
	// ChangedEngines asks the store for the engines whose declarations have changed since the list
	// behind Engines was received.
	ChangedEngines func(ctx context.Context) ([]Engine, error)
	// EnginesAge returns how long ago the store confirmed the list behind Engines, and whether it has.
	EnginesAge func() (time.Duration, bool)
	// IsResponsible reports whether this daemon removes the old versions of a service. It should be
	// true at one daemon.
	IsResponsible func(service string) bool
	// AllDaemonsRecord reports whether every daemon that has ever run in the system records versions,
	// once that is known.
	AllDaemonsRecord func() (all, isKnown bool)
	// MemberCount returns the number of daemons.
	MemberCount func() int
	Now         func() time.Time
	Log         *zap.Logger
}

// History is the view that this daemon has of the recorded versions. It is safe for concurrent use.
type History struct {
	options  Options
	changed  chan struct{}
	recorded atomic.Pointer[map[Engine]bool] // immutable; replaced on change
	// firstServices are the first services that this daemon recorded. A later one may have had streams
	// before its versions were recorded. It is used by Run alone.
	firstServices []string

	mutex    sync.Mutex
	rows     map[string]knownRow  // by service
	lastSeen map[Engine]time.Time // when an engine of the version was last known to this daemon
}

// New returns a history without versions.
func New(options Options) *History {
	history := &History{options: options, changed: make(chan struct{}, 1), rows: map[string]knownRow{}, lastSeen: map[Engine]time.Time{}}
	history.recorded.Store(&map[Engine]bool{})
	return history
}

// NoteChange makes Run look for new versions soon. It does not block.
func (h *History) NoteChange() {
	select {
	case h.changed <- struct{}{}:
	default: // a look is due already
	}
}

// IsRecorded reports whether the version of the service is recorded in the store. It takes no lock.
func (h *History) IsRecorded(service, version string) bool {
	return (*h.recorded.Load())[Engine{Service: service, Version: version}]
}

// row returns the last known row of the service.
func (h *History) row(service string) knownRow {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.rows[service]
}

// adopt records the row as the last known one, unless a newer one is known.
func (h *History) adopt(service string, row knownRow) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if row.version >= h.rows[service].version {
		h.rows[service] = row
		h.publish()
	}
}

// forget forgets the row of the service, so that it is read again.
func (h *History) forget(service string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.rows, service)
	h.publish()
}

// publish replaces the set of recorded versions. The caller must hold the mutex.
func (h *History) publish() {
	recorded := map[Engine]bool{}
	for service, row := range h.rows {
		for _, version := range row.Versions {
			recorded[Engine{Service: service, Version: version}] = true
		}
	}
	h.recorded.Store(&recorded)
}

// Only returns the one software version at which streams of the service that are not older than age
// can have begun. Otherwise the error is ErrSeveral, or wraps ErrUncertain. Only asks the store, unless
// this daemon knows of several versions.
func (h *History) Only(ctx context.Context, service string, age time.Duration) (string, error) {
	if age > maxStreamAge {
		return "", eris.Wrapf(ErrUncertain, "streams may last for %s", age)
	}
	if h.row(service).showsSeveral(versionsOf(h.options.Engines(), service)) {
		return "", ErrSeveral
	}
	var confirmed knownRow
	var declared []Engine
	calls, ctx := errgroup.WithContext(ctx)
	calls.Go(func() (err error) {
		confirmed, err = h.confirm(ctx, service)
		return err
	})
	calls.Go(func() (err error) {
		declared, err = h.options.ChangedEngines(ctx)
		return err
	})
	if err := calls.Wait(); err != nil {
		return "", eris.Wrap(errors.Join(ErrUncertain, err), "confirm the software versions")
	}
	// The list is complete up to where the feed of changes began, if it is taken after the feed.
	declared = append(declared, h.options.Engines()...)
	return confirmed.only(versionsOf(declared, service), age, h.options.Now())
}

// confirm returns the row of the service as it is in the store at some time during the call.
func (h *History) confirm(ctx context.Context, service string) (knownRow, error) {
	known := h.row(service)
	_, err := h.options.Store.Commit(ctx, state.Commit{
		Class: state.ClassReservation, Conditions: []state.Condition{{Key: keyOf(service), Version: known.version}},
	})
	if err == nil {
		return known, nil
	}
	return h.resolveConflict(service, err)
}

// resolveConflict returns the row that is in the store, if err is the conflict of a commit that
// expected another one, and adopts it. Otherwise it returns err.
func (h *History) resolveConflict(service string, err error) (knownRow, error) {
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return knownRow{}, err
	}
	row, exists := conflict.Find(keyOf(service))
	if !exists {
		h.forget(service)
		return knownRow{}, nil
	}
	current, err := decodeRow(row)
	if err != nil {
		return knownRow{}, err
	}
	h.adopt(service, current)
	return current, nil
}

// versionsOf returns the versions of the service's engines, each once.
func versionsOf(engines []Engine, service string) (versions []string) {
	for _, engine := range engines {
		if engine.Service == service && !slices.Contains(versions, engine.Version) {
			versions = append(versions, engine.Version)
		}
	}
	return versions
}
