package softwareversion

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestSoftwareVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "software versions")
}

// clock is a clock that specs set.
type clock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *clock) read() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *clock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(by)
}

// daemon is a history with the engines that its daemon knows.
type daemon struct {
	*History
	engines     []Engine // the list that it has received
	changed     []Engine // what the store adds to the list when it is asked
	changedErr  error
	afterFeed   func() // called after the store was asked for changes
	age         time.Duration
	responsible bool
	// allRecord and isFleetKnown are what it knows of the daemons that have run in the system.
	allRecord, isFleetKnown bool
}

const service = "s"

func engines(versions ...string) (list []Engine) {
	for _, version := range versions {
		list = append(list, Engine{Service: service, Version: version})
	}
	return list
}

func newDaemon(store state.Store, clock *clock) *daemon {
	d := &daemon{responsible: true, afterFeed: func() {}, isFleetKnown: true}
	d.History = New(Options{
		Store:    store,
		Services: func() []string { return []string{service} },
		Engines:  func() []Engine { return slices.Clone(d.engines) },
		ChangedEngines: func(context.Context) ([]Engine, error) {
			defer d.afterFeed()
			return slices.Clone(d.changed), d.changedErr
		},
		EnginesAge:       func() (time.Duration, bool) { return d.age, true },
		IsResponsible:    func(string) bool { return d.responsible },
		AllDaemonsRecord: func() (bool, bool) { return d.allRecord, d.isFleetKnown },
		MemberCount:      func() int { return 1 },
		Now:              clock.read,
		Log:              zap.NewNop(),
	})
	return d
}

var _ = Describe("History", func() {
	const streamAge = 8 * time.Second
	var store *memorystore.Store
	var at *clock
	var first *daemon

	check := func(ctx context.Context, d *daemon) {
		GinkgoHelper()
		Expect(d.check(ctx)).To(Succeed())
	}

	BeforeEach(func(ctx SpecContext) {
		store, at = memorystore.New(), &clock{now: time.Unix(100000, 0)}
		first = newDaemon(store, at)
		first.engines = engines("v1", "v1")
		check(ctx, first)
		at.advance(time.Minute)
	})

	It("tells the only version, at a daemon that has just started too", func(ctx SpecContext) {
		Expect(first.Only(ctx, service, streamAge)).To(Equal("v1"))
		second := newDaemon(store, at)
		second.engines = engines("v1")
		Expect(second.IsRecorded(service, "v1")).To(BeFalse())
		Expect(second.Only(ctx, service, streamAge)).To(Equal("v1"))
		Expect(second.IsRecorded(service, "v1")).To(BeTrue())
	})

	// Guards against a daemon that knows only the versions which are there now.
	It("tells no version at a daemon that started after the other one had left", func(ctx SpecContext) {
		first.engines = engines("v1", "v2")
		check(ctx, first)
		second := newDaemon(store, at)
		second.engines = engines("v2")
		_, err := second.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
	})

	// Guards against a daemon whose list is so old that it lacks a version.
	It("tells no version at a daemon whose list lacks one that is recorded", func(ctx SpecContext) {
		second := newDaemon(store, at)
		second.engines = engines("v1")
		check(ctx, second)
		first.engines = engines("v1", "v2")
		check(ctx, first)
		_, err := second.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
	})

	// Guards against daemons of an earlier build, which use a version before any daemon has recorded it.
	It("tells no version if an engine of another one has declared itself since the list was received", func(ctx SpecContext) {
		first.changed = engines("v2")
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
	})

	// Guards against a list that is taken before the feed of its changes.
	It("tells no version if the list receives an engine of another one while the store is asked", func(ctx SpecContext) {
		first.afterFeed = func() { first.engines = engines("v1", "v2") }
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
	})

	It("is uncertain about streams that may be older than its row", func(ctx SpecContext) {
		other := newDaemon(memorystore.New(), at)
		other.engines = engines("v1")
		_, err := other.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrUncertain), "there is no row yet")
		check(ctx, other)
		_, err = other.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrUncertain))
		at.advance(streamAge + maxClockDifference)
		Expect(other.Only(ctx, service, streamAge)).To(Equal("v1"))
		_, err = other.Only(ctx, service, time.Hour)
		Expect(err).To(MatchError(ErrUncertain), "versions are not kept for that long")
	})

	It("is certain at once in a system in which every daemon has recorded versions", func(ctx SpecContext) {
		other := newDaemon(memorystore.New(), at)
		other.engines, other.isFleetKnown = engines("v1"), false
		Expect(other.check(ctx)).To(MatchError(errDaemonsUnknown))
		other.allRecord, other.isFleetKnown = true, true
		check(ctx, other)
		Expect(other.Only(ctx, service, streamAge)).To(Equal("v1"))
		other.engines = engines("v1", "v2")
		check(ctx, other)
		Expect(other.row(service).IsComplete).To(BeTrue())
	})

	// Guards against a service whose streams were not resumable, and its versions not recorded, before.
	It("is uncertain about a service that gets its first resumable route later", func(ctx SpecContext) {
		other := newDaemon(memorystore.New(), at)
		other.allRecord, other.engines = true, engines("v1")
		services := []string{"another"}
		other.options.Services = func() []string { return services }
		check(ctx, other)
		services = []string{"another", service}
		check(ctx, other)
		_, err := other.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrUncertain))
	})

	It("is uncertain while the store refuses the condition or the feed", func(ctx SpecContext) {
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrUncertain))
		store.SetFaultFunc(nil)
		first.changedErr = eris.New("no answer")
		_, err = first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrUncertain))
	})

	It("records each version once, though the daemons see them at the same time", func(ctx SpecContext) {
		daemons := []*daemon{first, newDaemon(store, at), newDaemon(store, at)}
		for index, each := range daemons {
			each.engines = engines("v1", []string{"v2", "v3", "v2"}[index])
		}
		var checks sync.WaitGroup
		for _, each := range daemons {
			checks.Go(func() {
				defer GinkgoRecover()
				Expect(each.check(ctx)).To(Succeed())
			})
		}
		checks.Wait()
		last := newDaemon(store, at)
		Expect(last.read(ctx, service)).To(Succeed())
		Expect(last.row(service).Versions).To(ConsistOf("v1", "v2", "v3"))
		Expect(daemons[1].IsRecorded(service, "v3")).To(BeTrue())
	})

	It("forgets a version when no engine of it was known for the retention", func(ctx SpecContext) {
		first.engines = engines("v1", "v2")
		check(ctx, first)
		first.engines = engines("v2")
		at.advance(Retention - time.Second)
		check(ctx, first)
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
		at.advance(time.Second)
		first.age = time.Minute
		check(ctx, first)
		_, err = first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral), "its list is old")
		first.age = 0
		check(ctx, first)
		Expect(first.Only(ctx, service, streamAge)).To(Equal("v2"))
	})

	It("keeps the versions of a service that has no engines left", func(ctx SpecContext) {
		first.engines = engines("v1", "v2")
		check(ctx, first)
		first.engines = nil
		at.advance(2 * Retention)
		check(ctx, first)
		Expect(first.row(service).Versions).To(ConsistOf("v1", "v2"))
	})

	// Guards against a version that another daemon has removed while this one takes it for recorded.
	It("records a version again that is back after a long time", func(ctx SpecContext) {
		first.engines = engines("v1", "v2")
		check(ctx, first)
		second := newDaemon(store, at)
		second.engines = engines("v1", "v2")
		check(ctx, second)
		first.engines, second.engines = engines("v2"), engines("v2")
		at.advance(Retention)
		check(ctx, first)
		Expect(first.IsRecorded(service, "v1")).To(BeFalse())
		second.engines = engines("v1", "v2")
		check(ctx, second)
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(MatchError(ErrSeveral))
	})

	It("learns at a daemon that is not responsible what another one has removed", func(ctx SpecContext) {
		first.engines = engines("v1", "v2")
		check(ctx, first)
		second := newDaemon(store, at)
		second.engines, second.responsible = engines("v1", "v2"), false
		check(ctx, second)
		first.engines, second.engines = engines("v2"), engines("v2")
		at.advance(Retention)
		check(ctx, first)
		check(ctx, second)
		Expect(second.Only(ctx, service, streamAge)).To(Equal("v2"))
	})

	It("reports a row that cannot be decoded", func(ctx SpecContext) {
		store.Write(state.Put{Key: keyOf(service), Value: []byte("x")})
		_, err := first.Only(ctx, service, streamAge)
		Expect(err).To(And(MatchError(ErrUncertain), MatchError(ContainSubstring("decode the software versions of s"))))
		Expect(newDaemon(store, at).read(ctx, service)).To(MatchError(ContainSubstring("decode the software versions of s")))
	})
})
