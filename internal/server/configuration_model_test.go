package server

import (
	"context"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// timeBounds are a deployment's bounds on the configuration.
type timeBounds struct {
	contact time.Duration // after it can reach the store again, a daemon must be up to date
	apply   time.Duration // after it is acknowledged, a change must be in force
	// feedWait is how long a feed of the table may wait; 0: as long as that of the configuration.
	feedWait time.Duration
}

// allTimeBounds are the bounds of the deployments.
var allTimeBounds = []timeBounds{
	{contact: 3 * time.Second, apply: 2 * time.Second},
	{contact: 4 * time.Second, apply: 3 * time.Second},
	{contact: 5 * time.Second, apply: 4 * time.Second},
}

var configurationKey = state.Key{Table: "op", Name: "config"}

// storeRoute is one way to the store. It fails while isDown, is silent while isSilent, delivers
// answers late while isHeld, and otherwise passes calls to the store. A silent route loses the answers
// of calls in progress, too.
type storeRoute struct {
	state.Store
	answerTimeout    time.Duration // of a call, in addition to the wait of a feed
	isDown, isSilent func() bool
	isHeld           func() bool // nil: never
}

func (r *storeRoute) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	return callRoute(ctx, r, r.answerTimeout, func(ctx context.Context) (state.Page, error) { return r.Store.Read(ctx, selected) })
}

func (r *storeRoute) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	return callRoute(ctx, r, wait+r.answerTimeout, func(ctx context.Context) (state.FeedResult, error) {
		return r.Store.Feed(ctx, table, after, wait)
	})
}

func callRoute[T any](ctx context.Context, r *storeRoute, timeout time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	const roundTrip = 4 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	time.Sleep(roundTrip)
	var none T
	if r.isDown() {
		return none, state.ErrNotExecuted
	}
	result, err := call(ctx)
	if r.isSilent() {
		<-ctx.Done()
		return none, state.ErrUnknownOutcome
	}
	for r.isHeld != nil && r.isHeld() {
		if !pause.Sleep(ctx, roundTrip) {
			return none, state.ErrUnknownOutcome
		}
	}
	return result, err
}

// appliedRows records when each value of the configuration row was applied.
type appliedRows struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

func (a *appliedRows) Replace(rows []state.Row, _ state.Version) { a.Apply(rows) }

func (a *appliedRows) Apply(rows []state.Row) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, row := range rows {
		a.at[string(row.Value)] = time.Now()
	}
}

// inForceAt returns when the revision, or a later one, was applied, and whether one of them was.
func (a *appliedRows) inForceAt(revision, newest int) (earliest time.Time, found bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for ; revision <= newest; revision++ {
		if at, applied := a.at[strconv.Itoa(revision)]; applied && (!found || at.Before(earliest)) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// expectInForce checks that each revision was in force by when it was due, which depends on when it
// was written.
func (a *appliedRows) expectInForce(g Gomega, written []time.Time, due func(written time.Time) time.Time, description string) {
	for revision, at := range written {
		inForce, found := a.inForceAt(revision, len(written)-1)
		g.Expect(found).To(BeTrue(), "%s, revision %d was never in force", description, revision)
		g.Expect(inForce).To(BeTemporally("<=", due(at)), "%s, revision %d", description, revision)
	}
}

// runConfigurationWatch follows the configuration over the two routes for the given time, while
// other reads go on, and writes a new revision at each interval.
func runConfigurationWatch(bounds timeBounds, memory *memorystore.Store, direct, relay state.Store, duration, interval time.Duration) (applied *appliedRows, written []time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{Options: Options{Settings: Settings{ContactMillis: float64(bounds.contact.Milliseconds())}, Log: zap.NewNop()}}
	client := state.NewClient(state.ClientOptions{
		Store: direct, Alternative: relay, Probe: state.KeyRange(configurationKey),
		Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {}),
	})
	feedWait := bounds.feedWait
	if feedWait == 0 {
		feedWait = server.Settings.configurationFeedTimeout()
	}
	applied = &appliedRows{at: map[string]time.Time{}}
	var running sync.WaitGroup
	running.Go(func() {
		watch.Run(ctx, watch.Options{
			Store: client, Table: configurationKey.Table, MaxWait: feedWait, Log: zap.NewNop(),
		}, applied)
	})
	running.Go(func() {
		for pause.Sleep(ctx, 50*time.Millisecond) {
			_, _ = client.Read(ctx, state.KeyRange(state.Key{Table: "t", Partition: "p", Name: "n"}))
		}
	})
	for range int(duration / interval) {
		memory.Write(state.Put{Key: configurationKey, Value: []byte(strconv.Itoa(len(written)))})
		written = append(written, time.Now())
		time.Sleep(interval)
	}
	time.Sleep(3 * bounds.contact)
	cancel()
	running.Wait()
	synctest.Wait()
	return applied, written
}

func never() bool { return false }

func during(from, to time.Time) func() bool {
	return func() bool { return !time.Now().Before(from) && time.Now().Before(to) }
}
