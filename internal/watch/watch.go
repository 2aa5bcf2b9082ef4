// Package watch follows a table of the store: it reads the table once, then receives changes from
// the feed, and reads the table again if the feed's history is lost.
//
// The versions passed to the follower never decrease. A reading older than the follower's state is
// discarded.
package watch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Follower receives the contents of a table. Run calls its methods from one goroutine.
type Follower interface {
	// Replace replaces all rows by those of a complete reading. version is the version as of which
	// the reading is complete.
	Replace(rows []state.Row, version state.Version)
	// Apply applies changed and removed rows, in the order of the changes.
	Apply(rows []state.Row)
}

// Options configure a watch.
type Options struct {
	Store state.Store
	Table string
	// Partition is the store partition that holds all rows of the table.
	Partition string
	// MaxWait is the maximum time without a confirmation while the store answers: a feed call may
	// wait for a change for what is left of it since the last ConfirmationTime. It bounds how long a
	// dead connection goes unnoticed.
	MaxWait time.Duration
	// AnswerDue, if set, returns the time within which the next answer is needed, which limits the
	// wait of the next feed call if it is shorter than MaxWait. If AnswerDue returns zero or less,
	// MaxWait applies.
	AnswerDue func() time.Duration
	// MinBatchInterval is the minimum time between two batches of changes. A longer pause makes
	// batches larger.
	MinBatchInterval time.Duration
	// OnAnswer, if set, is called after each feed answer, once the follower has applied it. confirmed
	// is the ConfirmationTime of the answer. OnAnswer isn't called after a reading, since readings may
	// be behind: a reading counts as confirmed once a feed has continued from it.
	OnAnswer func(confirmed time.Time)
	// OnVersion, if set, is called after each reading and each feed answer, once the follower has
	// applied it, with the version up to which the follower is complete.
	OnVersion func(version state.Version)
	Log       *zap.Logger
}

const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 250 * time.Millisecond
)

// watcher is the state of one call of Run.
type watcher struct {
	Options
	follower Follower
	version  state.Version
	hasRead  bool // the table was read since the start or since the history was lost
	// confirmed is the ConfirmationTime of the last feed answer; zero if there was none since the
	// last reading.
	confirmed time.Time

	lastRead   time.Time // when the table was last read; zero before the first reading
	lastAnswer time.Time // when the last successful step ended, or Run started
	failures   int       // failed steps since lastAnswer
	lastError  error     // of the last failed step
}

// Run follows the table until the context ends. It retries failed calls with growing delays.
func Run(ctx context.Context, options Options, follower Follower) {
	if options.OnAnswer == nil {
		options.OnAnswer = func(time.Time) {}
	}
	if options.OnVersion == nil {
		options.OnVersion = func(state.Version) {}
	}
	w := &watcher{Options: options, follower: follower, lastAnswer: time.Now()}
	schedule := pause.NewBackoff(initialRetryDelay, maxRetryDelay)
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			w.recordAnswer()
			schedule.Reset()
			continue
		}
		w.failures++
		w.lastError = err
		if errors.Is(err, state.ErrHistoryLost) {
			w.hasRead = false
			options.Log.Warn("watch: history lost, reading again.", zap.String("table", options.Table), zap.Uint64("version", uint64(w.version)),
				zap.Duration("sinceReading", time.Since(w.lastRead)))
		}
		pause.Sleep(ctx, schedule.NextBackOff())
	}
}

func (w *watcher) step(ctx context.Context) error {
	if !w.hasRead {
		return w.readAll(ctx)
	}
	wait := w.feedWait()
	asked := time.Now()
	result, err := w.Store.Feed(ctx, w.Table, w.version, wait)
	if err != nil {
		return err
	}
	received := time.Now()
	w.version = max(w.version, result.Version)
	hasChanges := len(result.Rows) > 0
	if hasChanges {
		w.follower.Apply(result.Rows)
	}
	w.OnVersion(w.version)
	w.confirm(asked, received, wait, hasChanges)
	if !hasChanges {
		return nil
	}
	pause.Sleep(ctx, w.MinBatchInterval)
	return nil
}

// confirm records the ConfirmationTime of an answer that the follower has applied.
func (w *watcher) confirm(asked, received time.Time, wait time.Duration, hasChanges bool) {
	w.confirmed = ConfirmationTime(asked, received, wait, hasChanges)
	w.OnAnswer(w.confirmed)
	if took := received.Sub(asked); took > wait+MaxAnswerDelay {
		w.Log.Info("watch: late answer, asking again.", zap.String("table", w.Table), zap.Duration("after", took), zap.Duration("wait", wait))
	}
}

// recordAnswer notes that a step has succeeded. If steps failed before it, recordAnswer logs how
// long the table was not followed, and why.
func (w *watcher) recordAnswer() {
	now := time.Now()
	if w.failures > 0 {
		w.Log.Info("watch: following again.", zap.String("table", w.Table), zap.Duration("after", now.Sub(w.lastAnswer)),
			zap.Int("failures", w.failures), zap.String("lastCause", w.lastError.Error()))
	}
	w.lastAnswer, w.failures, w.lastError = now, 0, nil
}

// feedWait returns how long the next feed call may wait for a change.
func (w *watcher) feedWait() time.Duration {
	wait := max(w.MaxWait-time.Since(w.confirmed), 0)
	if w.AnswerDue == nil {
		return wait
	}
	if due := w.AnswerDue(); due > 0 {
		return min(wait, due)
	}
	return wait
}

// readAll reads the table page by page. Each page is consistent as of its own version. The feed
// continues from the lowest of these versions. If the store no longer has the changes since then, the
// table is read again.
func (w *watcher) readAll(ctx context.Context) error {
	var rows []state.Row
	oldest := state.Version(0)
	from := ""
	asked := time.Now()
	for {
		page, err := w.Store.Read(ctx, state.Range{Class: state.ClassFollow, Table: w.Table, Partition: w.Partition, From: from})
		if err != nil {
			return err
		}
		if oldest == 0 || page.Version < oldest {
			oldest = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
	if oldest < w.version {
		return eris.Errorf("stale reading of %s: version %d, already at version %d", w.Table, oldest, w.version)
	}
	w.version = oldest
	w.hasRead, w.lastRead = true, time.Now()
	w.follower.Replace(rows, oldest)
	w.OnVersion(oldest)
	w.confirmed = time.Time{} // the next feed call is answered at once
	w.Log.Info("watch: table read.", zap.String("table", w.Table), zap.Int("rows", len(rows)), zap.Uint64("version", uint64(oldest)),
		zap.Duration("took", time.Since(asked)))
	return nil
}
