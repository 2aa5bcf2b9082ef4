package quota_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/quota"
)

// testFleet is a set of daemons that call each other directly. All daemons agree on the owner of
// each part.
type testFleet struct {
	clock      atomic.Int64 // nanoseconds since the epoch
	mutex      sync.Mutex   // guards the daemons' state; a call may still run after its request has ended
	daemons    []*testDaemon
	byAddress  map[string]*testDaemon
	soleOwner  *testDaemon // owner of all parts, if not nil
	assignment byte        // any change reassigns the parts
	// released receives a value after each Quota.GiveBack call. The value is dropped if an earlier
	// one has not been received yet.
	released chan struct{}
}

func (f *testFleet) now() time.Time { return time.Unix(0, f.clock.Load()) }

func (f *testFleet) advanceBy(elapsed time.Duration) { f.clock.Add(int64(elapsed)) }

// withLock runs update while no call is being handled.
func (f *testFleet) withLock(update func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	update()
}

// testDaemon is one daemon of a testFleet.
type testDaemon struct {
	fleet       *testFleet
	process     identity.Process
	since       time.Time // start time of the process
	issuer      *quota.Issuer
	limiter     *quota.Limiter
	unreachable bool // it gets no calls and its own calls fail
	// suspended daemons may not issue permits, although no other daemon owns their parts.
	suspended   bool
	silentZones map[identity.Zone]bool
	lostReplies int // number of its next replies that are lost
}

func newFleet(daemons int, start time.Time) fleet { return newTestFleet(daemons, start) }

func newTestFleet(daemons int, start time.Time) *testFleet {
	f := &testFleet{byAddress: map[string]*testDaemon{}, released: make(chan struct{}, 1)}
	f.clock.Store(start.UnixNano())
	for number := range daemons {
		name := fmt.Sprint("m", number)
		daemon := &testDaemon{fleet: f, process: identity.Process{Machine: identity.Machine(name), Address: name}}
		f.daemons = append(f.daemons, daemon)
		f.byAddress[name] = daemon
		daemon.start()
	}
	return f
}

// start replaces the daemon's process by a new one without any state.
func (d *testDaemon) start() {
	now := d.fleet.now
	d.since = now()
	d.process.Incarnation++
	d.issuer = quota.NewIssuer(settings, d, now)
	d.limiter = quota.NewLimiter(quota.Options{Settings: settings, Issuer: d.issuer, Directory: d, PeerClient: d, Now: now, Log: zap.NewNop()})
}

// IsZoneSilent implements quota.Directory.
func (d *testDaemon) IsZoneSilent(member members.Member) bool {
	return d.silentZones[member.Process.Zone]
}

// RecordMiss implements quota.Directory.
func (d *testDaemon) RecordMiss(members.Member) {}

// RecordAnswer implements quota.Directory.
func (d *testDaemon) RecordAnswer(members.Member) {}

// Self implements quota.Directory.
func (d *testDaemon) Self() identity.Process { return d.process }

// ShardOwner implements quota.Directory.
func (d *testDaemon) ShardOwner(key string, part int) (members.Member, bool) {
	return members.Member{Process: d.fleet.ownerOf(key, part).process}, true
}

// OwnsShard implements quota.Ownership.
func (d *testDaemon) OwnsShard(key string, part int) (time.Time, bool) {
	return d.since, !d.suspended && d.fleet.ownerOf(key, part) == d
}

func (f *testFleet) ownerOf(key string, part int) *testDaemon {
	if f.soleOwner != nil {
		return f.soleOwner
	}
	digest := uint64(0)
	for _, b := range append([]byte(fmt.Sprint(key, "\x00", part)), f.assignment) {
		const prime = 1099511628211
		digest = (digest ^ uint64(b)) * prime
	}
	return f.daemons[digest%uint64(len(f.daemons))]
}

var errUnreachable = errors.New("no answer")

// Call implements peer.Client.
func (d *testDaemon) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	if method == "Quota.GiveBack" {
		defer d.fleet.signalReleased()
	}
	callee := d.fleet.byAddress[address]
	if d.unreachable || callee.unreachable {
		return errUnreachable
	}
	var err error
	switch method {
	case "Quota.Take":
		err = callee.issuer.Take(arguments.(quota.TakeRequest), reply.(*quota.TakeReply))
	case "Quota.GiveBack":
		err = callee.issuer.GiveBack(arguments.(quota.GiveBackRequest), reply.(*quota.GiveBackReply))
	}
	if callee.lostReplies > 0 {
		callee.lostReplies--
		return errUnreachable
	}
	return err
}

func (f *testFleet) signalReleased() {
	select {
	case f.released <- struct{}{}:
	default:
	}
}

func (f *testFleet) acquire(daemon int, request quota.Request) (retryAfter time.Duration, admitted bool) {
	permit, err := f.daemons[daemon].limiter.Acquire(context.Background(), request)
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return exceeded.RetryAfter, false
	}
	return 0, permit != nil
}

func (f *testFleet) setClock(to time.Time) { f.clock.Store(to.UnixNano()) }
