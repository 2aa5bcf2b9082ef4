// Package watch follows a table of the store: it reads the table once, then
// hears its changes, and reads again when the history was lost.
//
// Guarantee: versions given to the follower never fall; a reading that is
// older than what is known already is not given.
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

// Follower takes in what a table holds.
type Follower interface {
	// Replace takes a whole reading.
	Replace(rows []state.Row, version state.Version)
	// Change takes rows that changed, in order.
	Change(rows []state.Row)
}

// Options of a watch.
type Options struct {
	Store state.Store
	Table string
	// Partition is where all rows of the table lie.
	Partition string
	// Wait is how long a feed may be silent before it is asked again; it
	// bounds how long a connection that says nothing is believed.
	Wait time.Duration
	// Due, if given, tells how soon an answer is needed; it shortens Wait. Zero: not
	// sooner than Wait.
	Due func() time.Duration
	// Pause is the least time between two changes, so that many small ones
	// come together.
	Pause time.Duration
	// OnHeard, if given, is told each time the store answered, once the follower has
	// taken the answer in: who goes by the time of the last answer then knows it.
	OnHeard func()
	Log     *zap.Logger
}

const (
	firstRetry   = 50 * time.Millisecond
	longestRetry = 250 * time.Millisecond
)

// watch is the state of one following.
type watch struct {
	Options
	follower Follower
	version  state.Version
	read     bool // a reading was taken since the start or the last lost history
}

// Run follows the table until the context ends.
func Run(ctx context.Context, options Options, follower Follower) {
	if options.OnHeard == nil {
		options.OnHeard = func() {}
	}
	current := &watch{Options: options, follower: follower}
	schedule := pause.Growing(firstRetry, longestRetry)
	for ctx.Err() == nil {
		err := current.step(ctx)
		if err == nil {
			schedule.Reset()
			continue
		}
		if errors.Is(err, state.ErrHistoryLost) {
			current.read = false
			options.Log.Warn("watch: history lost, reading again.", zap.String("table", options.Table), zap.Uint64("version", uint64(current.version)))
		}
		pause.For(ctx, schedule.NextBackOff())
	}
}

func (w *watch) step(ctx context.Context) error {
	if !w.read {
		return w.readAll(ctx)
	}
	change, err := w.Store.Feed(ctx, w.Table, w.version, w.wait())
	if err != nil {
		return err
	}
	w.version = max(w.version, change.Version)
	if len(change.Rows) == 0 {
		w.OnHeard()
		return nil
	}
	w.follower.Change(change.Rows)
	w.OnHeard()
	pause.For(ctx, w.Pause)
	return nil
}

// wait is how long the next feed may be silent.
func (w *watch) wait() time.Duration {
	if w.Due == nil {
		return w.Wait
	}
	if due := w.Due(); due > 0 {
		return min(w.Wait, due)
	}
	return w.Wait
}

// readAll reads the table page by page; each page is as of one moment, and
// the feed goes on from the oldest of them.
func (w *watch) readAll(ctx context.Context) error {
	var rows []state.Row
	oldest := state.Version(0)
	from := ""
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
		return eris.Errorf("a reading of %s is behind: version %d after %d", w.Table, oldest, w.version)
	}
	w.version = oldest
	w.read = true
	w.follower.Replace(rows, oldest)
	w.OnHeard()
	w.Log.Info("watch: table read.", zap.String("table", w.Table), zap.Int("rows", len(rows)), zap.Uint64("version", uint64(oldest)))
	return nil
}
