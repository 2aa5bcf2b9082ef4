package stored_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/configuration/stored"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestStored(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "stored configuration")
}

const confirmBound = 400 * time.Millisecond

// start starts a service, as each daemon does, and returns it. The service is stopped
// at the end of the spec.
func start(store state.Store) *stored.Service {
	GinkgoHelper()
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: store, Availability: availability})
	service, err := stored.New(stored.Options{Store: client, MaxRowBytes: 200, ConfirmBound: confirmBound})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = service.Run(ctx) }()
	DeferCleanup(func() { cancel(); Eventually(ended).Should(BeClosed()) })
	return service
}

// change returns a change of the base revision to a document with the given tenants.
func change(identifier string, base uint64, tenants ...string) configuration.Change {
	result := configuration.Change{Identifier: identifier, BaseRevision: base, Operator: "op"}
	for _, name := range tenants {
		result.Document.Tenants = append(result.Document.Tenants, configuration.Tenant{Name: identity.Tenant(name)})
	}
	return result
}

var _ = Describe("Service", func() {
	var store *memorystore.Store

	BeforeEach(func() { store = memorystore.New() })

	It("puts a change in force at running daemons and at daemons that start later", func(ctx SpecContext) {
		first, second := start(store), start(store)
		var names []string
		for number := range 50 { // more than fit into one row
			names = append(names, fmt.Sprintf("tenant-%02d", number))
		}
		result, err := first.Change(ctx, change("one", 0, names...))
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 1}))
		Expect(first.Current().Revision).To(BeEquivalentTo(1))
		for _, each := range []*stored.Service{second, start(store)} {
			Eventually(func() uint64 { return each.Current().Revision }).Should(BeEquivalentTo(1))
			Expect(each.Current().Document.Tenants).To(HaveLen(50))
			Eventually(each.IsConfirmed).Should(BeTrue())
		}
		revisions, err := second.History(ctx, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(revisions).To(HaveLen(1))
		Expect(revisions[0].Operator).To(Equal("op"))
	})

	It("returns the first result for a repeated change, a conflict for a stale base, and faults", func(ctx SpecContext) {
		service := start(store)
		for range 2 {
			Expect(service.Change(ctx, change("one", 0, "a"))).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 1}))
		}
		Expect(service.Change(ctx, change("two", 0, "b"))).To(Equal(configuration.ChangeResult{Revision: 1, Conflict: true}))
		faulty, err := service.Change(ctx, change("three", 1, "a", "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(faulty.Accepted).To(BeFalse())
		Expect(faulty.Faults).NotTo(BeEmpty())
	})

	It("recognizes a commit without an answer by the identifier of the change", func(ctx SpecContext) {
		service := start(store)
		lost := 0
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && lost < 6 {
				lost++
				return memorystore.FaultLost
			}
			return memorystore.FaultNone
		})
		Expect(service.Change(ctx, change("one", 0, "a"))).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 1}))
		Expect(start(store).Change(ctx, change("two", 1, "a", "b"))).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 2}))
	})

	It("reports that a change was not made while the store is down, and is unconfirmed after the bound", func(ctx SpecContext) {
		service := start(store)
		Expect(service.Change(ctx, change("one", 0, "a"))).To(HaveField("Accepted", true))
		Eventually(service.IsConfirmed).Should(BeTrue())
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := service.Change(short, change("two", 1, "b"))
		var reported *problem.Problem
		Expect(errors.As(err, &reported)).To(BeTrue())
		Expect(reported.Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(reported.RetryAfter).To(BeNumerically(">", 0))
		Eventually(service.IsConfirmed).Should(BeFalse())
		Expect(service.Current().Revision).To(BeEquivalentTo(1), "the previous revision stays in force")
		store.SetFaultFunc(nil)
		Eventually(service.IsConfirmed).Should(BeTrue())
	})

	It("retains its revision when reads of the store are outdated", func(ctx SpecContext) {
		service := start(store)
		Expect(service.Change(ctx, change("one", 0, "a"))).To(HaveField("Accepted", true))
		store.SetFixedPage(&state.Page{})
		store.ForgetHistory()
		Consistently(func() uint64 { return service.Current().Revision }, "50ms").Should(BeEquivalentTo(1))
		store.SetFixedPage(nil)
		Eventually(service.IsConfirmed).Should(BeTrue())
	})

	// Guards against work by a revision that counts as the newest one because the newer one is not understood.
	It("is not confirmed while the head of the store cannot be decoded", func(ctx SpecContext) {
		service := start(store)
		Expect(service.Change(ctx, change("one", 0, "a"))).To(HaveField("Accepted", true))
		Eventually(service.IsConfirmed).Should(BeTrue())
		rows, err := store.Read(ctx, state.Range{Table: stored.HeadKey.Table})
		Expect(err).NotTo(HaveOccurred())
		feeds := store.CallCount("feed")
		Eventually(func() int { return store.CallCount("feed") }).Should(BeNumerically(">", feeds+1), "revision 1 has been fetched")
		store.Write(state.Put{Key: stored.HeadKey, Value: []byte("not a head")})
		Eventually(service.IsConfirmed).Should(BeFalse())
		Consistently(service.IsConfirmed, 2*confirmBound).Should(BeFalse())
		store.Write(state.Put{Key: stored.HeadKey, Value: rows.Rows[0].Value})
		Eventually(service.IsConfirmed).Should(BeTrue())
	})

	// Guards against an older revision that counts as the latest one after a concurrent change.
	It("never forgets the latest revision that it knows of", func() {
		service, err := stored.New(stored.Options{Store: state.NewClient(state.ClientOptions{Store: store}), MaxRowBytes: 200, ConfirmBound: confirmBound})
		Expect(err).NotTo(HaveOccurred())
		const writers, revisions = 8, 1_000_000
		var running sync.WaitGroup
		var forgotten atomic.Int64
		for writer := range uint64(writers) {
			running.Go(func() {
				for step := range uint64(revisions) {
					revision := step*writers + writer
					stored.RaiseLatestKnown(service, revision)
					if stored.LatestKnown(service) < revision {
						forgotten.Add(1)
					}
				}
			})
		}
		running.Wait()
		Expect(forgotten.Load()).To(BeZero())
	})

	DescribeTable("accepts one of several concurrent changes of one revision", func(ctx SpecContext, seed int) {
		services := []*stored.Service{start(store), start(store), start(store)}
		calls := 0
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault {
			calls++
			switch (calls*5 + seed) % 17 {
			case 0, 1:
				return memorystore.FaultLost
			case 2:
				return memorystore.FaultRefused
			}
			return memorystore.FaultNone
		})
		base := uint64(0)
		for round := range 4 {
			var mutex sync.Mutex
			winners := map[string]uint64{}
			var racing sync.WaitGroup
			for operator := range 5 {
				racing.Go(func() {
					defer GinkgoRecover()
					name := fmt.Sprintf("t-%d-%d", round, operator)
					result, err := services[operator%len(services)].Change(ctx, change(name, base, name))
					Expect(err).NotTo(HaveOccurred())
					mutex.Lock()
					defer mutex.Unlock()
					if result.Accepted {
						winners[name] = result.Revision
						return
					}
					Expect(result.Conflict).To(BeTrue())
				})
			}
			racing.Wait()
			Expect(winners).To(HaveLen(1))
			base++
			for name, revision := range winners {
				Expect(revision).To(Equal(base))
				for _, each := range services {
					Eventually(func() string {
						if each.Current().Revision != base {
							return ""
						}
						return string(each.Current().Document.Tenants[0].Name)
					}).Should(Equal(name))
				}
			}
		}
		revisions, err := services[0].History(ctx, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(revisions).To(HaveLen(4))
		for _, revision := range revisions {
			Expect(strings.HasPrefix(revision.Identifier, "t-")).To(BeTrue())
		}
	}, Entry("as seed 1 has it", 1), Entry("as seed 2 has it", 2), Entry("as seed 3 has it", 3))
})
