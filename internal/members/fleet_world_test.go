package members

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

const testRenewal = time.Second

// daemon is one process of a test: its list, its lease and its way to the store.
type daemon struct {
	list  *List
	lease *Lease
	world *fleetWorld
	cut   bool // from the store
}

// fleetWorld is a store, its daemons and a clock.
type fleetWorld struct {
	store   *memorystore.Store
	now     time.Time
	started int
	zones   map[string]identity.Zone // by machine; others are in the zone without a name
}

func newFleetWorld() *fleetWorld {
	return &fleetWorld{store: memorystore.New(), now: time.Unix(1000, 0), zones: map[string]identity.Zone{}}
}

// start makes a process on a machine; it does not reach for the store yet.
func (w *fleetWorld) start(machine string, firstStart bool) *daemon {
	return w.startAt(machine, machine, firstStart)
}

func (w *fleetWorld) startAt(machine, address string, firstStart bool) *daemon {
	w.started++
	self := Member{Process: identity.Process{
		Machine: identity.Machine(machine), Zone: w.zones[machine], Region: "r", Address: address, Incarnation: identity.Incarnation(w.started),
	}}
	made := &daemon{world: w}
	made.list = NewList(self, func() time.Time { return w.now }, zap.NewNop())
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: made, Availability: availability, NotHedged: true})
	made.lease = &Lease{List: made.list, Store: client, FirstStart: firstStart, ShortestRenewal: testRenewal, Log: zap.NewNop()}
	return made
}

// Commit implements state.Store: the daemon's own way to the store.
func (d *daemon) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	if d.cut {
		return 0, state.ErrNotDone
	}
	return d.world.store.Commit(ctx, commit)
}

// Read implements state.Store.
func (d *daemon) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	if d.cut {
		return state.Page{}, state.ErrNotDone
	}
	return d.world.store.Read(ctx, selected)
}

// Feed implements state.Store.
func (d *daemon) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.Change, error) {
	return d.world.store.Feed(ctx, table, after, wait)
}

// read takes in the whole list, if the daemon reaches the store.
func (d *daemon) read() {
	page, err := d.Read(context.Background(), state.Range{Table: Table, Partition: partition})
	if err != nil {
		return
	}
	d.list.Replace(page.Rows, page.Version)
	d.list.Heard()
}

// step renews as Run does, without waiting long where there is no way.
func (d *daemon) step() bool {
	ctx, cancel := d.reach()
	defer cancel()
	kept := d.lease.Step(ctx)
	d.read()
	return kept
}

// reach gives a context that has ended if there is no way to the store, so that
// no test waits for what cannot come.
func (d *daemon) reach() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if d.cut {
		cancel()
	}
	return ctx, cancel
}

func (d *daemon) sees(machine string) State {
	member, found := d.list.member(identity.Machine(machine))
	if !found {
		return ""
	}
	return member.State
}

// run lets so much time pass; the daemons renew every testRenewal.
func (w *fleetWorld) run(lasting time.Duration, daemons ...*daemon) {
	for end := w.now.Add(lasting); w.now.Before(end); w.now = w.now.Add(testRenewal) {
		for _, each := range daemons {
			each.step()
		}
	}
	for _, each := range daemons {
		each.read()
	}
}
