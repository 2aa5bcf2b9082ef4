package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

const (
	testRenewal  = time.Second
	testFeedWait = 15 * time.Second // the longest time for which the store may keep a daemon waiting for an answer
)

// daemon is a simulated process with its list and its lease. It implements state.Store by passing
// calls on to the store of the environment. If the daemon is cut off, Commit and Read fail.
type daemon struct {
	list     *List
	lease    *Lease
	env      *testEnv
	isCutOff bool // Commit and Read fail
	pending  *pendingAnswer
}

// pendingAnswer is what the store answered about the list, which the daemon has not taken in yet.
type pendingAnswer struct {
	page  state.Page
	asked time.Time
}

// testEnv is the environment of simulated daemons: their store and their clock.
type testEnv struct {
	store   *memorystore.Store
	now     time.Time
	started int
	zones   map[string]identity.Zone // zone of each machine; unlisted machines are in the zone with the empty name
}

func newTestEnv() *testEnv {
	return &testEnv{store: memorystore.New(), now: time.Unix(1000, 0), zones: map[string]identity.Zone{}}
}

// startDaemon creates a process on a machine. It doesn't call the store yet.
func (e *testEnv) startDaemon(machine string, firstStart bool) *daemon {
	return e.startDaemonAt(machine, machine, firstStart)
}

func (e *testEnv) startDaemonAt(machine, address string, firstStart bool) *daemon {
	e.started++
	self := Member{Process: identity.Process{
		Machine: identity.Machine(machine), Zone: e.zones[machine], Region: "r", Address: address, Incarnation: identity.Incarnation(e.started),
	}}
	d := &daemon{env: e}
	d.list = NewList(self, func() time.Time { return e.now }, zap.NewNop())
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: d, Availability: availability, DisableHedging: true})
	d.lease = &Lease{List: d.list, Store: client, FirstStart: firstStart, MinRenewalInterval: testRenewal, Log: zap.NewNop()}
	return d
}

// Commit implements state.Store.
func (d *daemon) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	if d.isCutOff {
		return 0, state.ErrNotExecuted
	}
	return d.env.store.Commit(ctx, commit)
}

// Read implements state.Store.
func (d *daemon) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	if d.isCutOff {
		return state.Page{}, state.ErrNotExecuted
	}
	return d.env.store.Read(ctx, selected)
}

// Feed implements state.Store. It works even if the daemon is cut off.
func (d *daemon) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	return d.env.store.Feed(ctx, table, after, wait)
}

// ask makes the store answer about the list, unless an answer is pending or the daemon is cut off.
func (d *daemon) ask() {
	if d.pending != nil {
		return
	}
	page, err := d.Read(context.Background(), state.Range{Table: MemberTable, Partition: partition})
	if err == nil {
		d.pending = &pendingAnswer{page: page, asked: d.env.now}
	}
}

// read takes the pending answer into the daemon's list. If none is pending, it asks for one.
func (d *daemon) read() {
	d.ask()
	if d.pending == nil {
		return
	}
	answer := d.pending
	d.pending = nil
	d.list.Replace(answer.page.Rows, answer.page.Version)
	d.list.RecordConfirmation(watch.ConfirmationTime(answer.asked, d.env.now, testFeedWait, true))
}

// step runs one step of the lease and then reads the list. It returns the result of
// Lease.RenewOnce.
func (d *daemon) step() bool {
	ctx, cancel := d.storeContext()
	defer cancel()
	registered := d.lease.RenewOnce(ctx)
	d.read()
	return registered
}

// storeContext returns a context for calls of the store. It has already ended if the daemon is cut
// off, so that no test waits for a timeout.
func (d *daemon) storeContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if d.isCutOff {
		cancel()
	}
	return ctx, cancel
}

func (d *daemon) stateOf(machine string) State {
	member, found := d.list.member(identity.Machine(machine))
	if !found {
		return ""
	}
	return member.State
}

// run advances the clock by duration. The given daemons step every testRenewal, and read the list
// at the end.
func (e *testEnv) run(duration time.Duration, daemons ...*daemon) {
	for end := e.now.Add(duration); e.now.Before(end); e.now = e.now.Add(testRenewal) {
		for _, each := range daemons {
			each.step()
		}
	}
	for _, each := range daemons {
		each.read()
	}
}
