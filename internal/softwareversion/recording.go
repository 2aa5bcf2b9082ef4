package softwareversion

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

const (
	// checkInterval is the time between two looks at the versions while nothing changes.
	checkInterval = time.Minute
	// maxEnginesAge is the maximum age of the list of engines for concluding that a version has left.
	maxEnginesAge = 10 * time.Second
	// delayPerMember spreads the daemons that record a new version. The later ones find it recorded.
	delayPerMember = 1500 * time.Microsecond
	// Bounds of the growing pause after a failure.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Run records new versions and removes old ones until the context ends.
func (h *History) Run(ctx context.Context) {
	schedule := pause.NewBackoff(initialRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		if err := h.check(ctx); err != nil {
			h.options.Log.Info("versions: not recorded yet.", zap.String("cause", err.Error()))
			pause.Sleep(ctx, schedule.NextBackOff())
			continue
		}
		schedule.Reset()
		select {
		case <-ctx.Done():
		case <-h.changed:
		case <-time.After(checkInterval):
		}
	}
}

// check records the versions of all known engines, and removes those that have left.
func (h *History) check(ctx context.Context) error {
	engines := h.options.Engines()
	h.noteSeen(engines)
	services := h.options.Services()
	if len(h.firstServices) == 0 {
		h.firstServices = services
	}
	for _, service := range services {
		if err := h.record(ctx, service, versionsOf(engines, service)); err != nil {
			return err
		}
		if err := h.removeOld(ctx, service); err != nil {
			return err
		}
	}
	return nil
}

// noteSeen notes the time at which engines were known. If a version is back after so long that another
// daemon may have removed it, the row is read again.
func (h *History) noteSeen(engines []Engine) {
	now := h.options.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, engine := range engines {
		if seen, found := h.lastSeen[engine]; found && now.Sub(seen) > Retention/2 {
			delete(h.rows, engine.Service)
			h.publish()
		}
		h.lastSeen[engine] = now
	}
}

// record adds the versions to the row of the service, unless it has them.
func (h *History) record(ctx context.Context, service string, versions []string) error {
	if len(h.row(service).missing(versions)) == 0 {
		return nil
	}
	pause.Sleep(ctx, rand.N(delayPerMember*time.Duration(max(h.options.MemberCount(), 1))))
	if err := h.read(ctx, service); err != nil {
		return err
	}
	for {
		known := h.row(service)
		missing := known.missing(versions)
		if len(missing) == 0 {
			return nil
		}
		next := known.rowContent
		if known.version == 0 {
			var err error
			if next, err = h.newRow(service); err != nil {
				return err
			}
		}
		next.Versions = append(slices.Clone(known.Versions), missing...)
		isReplaced, err := h.replace(ctx, service, known, next)
		if err != nil {
			return err
		}
		if isReplaced {
			h.options.Log.Info("versions: recorded.", zap.String("service", service), zap.Strings("versions", missing))
		}
	}
}

// errDaemonsUnknown means that the row of a service is not created yet.
var errDaemonsUnknown = errors.New("it is not known yet which daemons have run in the system")

// newRow returns the content of a new row, without versions. The row is complete if the daemons have
// recorded the service's versions from the start.
func (h *History) newRow(service string) (rowContent, error) {
	allRecord, isKnown := h.options.AllDaemonsRecord()
	if !isKnown {
		return rowContent{}, errDaemonsUnknown
	}
	return rowContent{Since: h.options.Now().UnixMilli(), IsComplete: allRecord && slices.Contains(h.firstServices, service)}, nil
}

// read reads the row of the service.
func (h *History) read(ctx context.Context, service string) error {
	selected := state.KeyRange(keyOf(service))
	selected.Class = state.ClassFollow
	page, err := h.options.Store.Read(ctx, selected)
	if err != nil || len(page.Rows) == 0 {
		return err
	}
	row, err := decodeRow(page.Rows[0])
	if err != nil {
		return err
	}
	h.adopt(service, row)
	return nil
}

// replace replaces the known row by next. It returns false if the store had another row, which
// is then the known one.
func (h *History) replace(ctx context.Context, service string, known knownRow, next rowContent) (bool, error) {
	commit, err := known.commitOf(service, next)
	if err != nil {
		return false, err
	}
	version, err := h.options.Store.Commit(ctx, commit)
	if err != nil {
		_, err = h.resolveConflict(service, err)
		return false, err
	}
	h.adopt(service, knownRow{rowContent: next, version: version})
	return true, nil
}

// removeOld removes from the row of the service, if this daemon is responsible, the versions of which
// no engine was known for Retention. The other daemons learn of it when they next read the row.
func (h *History) removeOld(ctx context.Context, service string) error {
	known := h.row(service)
	if len(known.Versions) < 2 {
		return nil
	}
	old := h.versionsNotSeen(service, known.Versions)
	if len(old) == 0 || len(old) == len(known.Versions) {
		return nil
	}
	if !h.options.IsResponsible(service) {
		return h.read(ctx, service)
	}
	next := known.rowContent
	next.Versions = knownRow{rowContent: rowContent{Versions: old}}.missing(known.Versions)
	isReplaced, err := h.replace(ctx, service, known, next)
	if isReplaced {
		h.options.Log.Info("versions: removed.", zap.String("service", service), zap.Strings("versions", old))
	}
	return err
}

// versionsNotSeen returns the versions of which no engine was known for Retention. While the list of
// engines is old, there are none.
func (h *History) versionsNotSeen(service string, versions []string) (old []string) {
	if age, isConfirmed := h.options.EnginesAge(); !isConfirmed || age > maxEnginesAge {
		return nil
	}
	now := h.options.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, version := range versions {
		engine := Engine{Service: service, Version: version}
		seen, found := h.lastSeen[engine]
		if !found {
			h.lastSeen[engine] = now // this daemon has just learned of the version from the row
			continue
		}
		if now.Sub(seen) >= Retention {
			old = append(old, version)
		}
	}
	return old
}
