package watch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

func TestWatch(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "watch")
}

// follower holds the current rows and counts complete readings.
type follower struct {
	mutex    sync.Mutex
	rows     map[string]string
	readings int
	versions []state.Version
}

func (f *follower) Replace(rows []state.Row, version state.Version) {
	f.mutex.Lock()
	f.rows = map[string]string{}
	f.readings++
	f.versions = append(f.versions, version)
	f.mutex.Unlock()
	f.Apply(rows)
}

func (f *follower) Apply(rows []state.Row) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, row := range rows {
		if row.Removed {
			delete(f.rows, row.Key.Name)
			continue
		}
		f.rows[row.Key.Name] = string(row.Value)
	}
}

func (f *follower) seen() map[string]string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := map[string]string{}
	for name, value := range f.rows {
		seen[name] = value
	}
	return seen
}

func (f *follower) readingCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.readings
}

var _ = Describe("Run", func() {
	var store *memorystore.Store
	var followed *follower

	write := func(ctx context.Context, name, value string) {
		GinkgoHelper()
		key := state.Key{Table: "t", Name: name}
		_, err := store.Commit(ctx, state.Commit{Puts: []state.Put{{Key: key, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func(ctx SpecContext) {
		store = memorystore.New()
		followed = &follower{}
		write(ctx, "a", "1")
		running, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(running, watch.Options{Store: store, Table: "t", MaxWait: 20 * time.Millisecond, Log: zap.NewNop()}, followed)
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(followed.seen).Should(Equal(map[string]string{"a": "1"}))
	})

	It("says that it heard once the follower has taken the answer in", func() {
		atFirst := make(chan map[string]string, 1)
		late := &follower{}
		running, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(running, watch.Options{
				Store: store, Table: "t", MaxWait: 20 * time.Millisecond, Log: zap.NewNop(),
				OnAnswer: func(time.Time) {
					select {
					case atFirst <- late.seen():
					default:
					}
				},
			}, late)
		}()
		DeferCleanup(func() { cancel(); <-done })
		var first map[string]string
		Eventually(atFirst).Should(Receive(&first))
		Expect(first).To(Equal(map[string]string{"a": "1"}))
	})

	It("polls again when an answer is due, before the feed's own wait has ended", func() {
		answers := make(chan struct{}, 8)
		running, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(running, watch.Options{
				Store: store, Table: "t", MaxWait: time.Hour, Log: zap.NewNop(),
				AnswerDue: func() time.Duration { return time.Millisecond },
				OnAnswer: func(time.Time) {
					select {
					case answers <- struct{}{}:
					default: // the test receives only the first ones
					}
				},
			}, &follower{})
		}()
		DeferCleanup(func() { cancel(); <-done })
		for range 3 { // feed calls without a change
			Eventually(answers).Should(Receive())
		}
	})

	It("delivers changes and removals", func(ctx SpecContext) {
		write(ctx, "b", "2")
		Eventually(followed.seen).Should(Equal(map[string]string{"a": "1", "b": "2"}))
		_, err := store.Commit(ctx, state.Commit{Removals: []state.Key{{Table: "t", Name: "a"}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(followed.seen).Should(Equal(map[string]string{"b": "2"}))
		Expect(followed.readingCount()).To(Equal(1))
	})

	It("reads the table again when the history is lost, and ignores a stale reading", func(ctx SpecContext) {
		write(ctx, "b", "2")
		Eventually(followed.seen).Should(HaveKey("b"))
		store.SetFixedPage(&state.Page{Version: 1, Rows: []state.Row{{Key: state.Key{Table: "t", Name: "a"}, Value: []byte("0"), Version: 1}}})
		write(ctx, "other table", "")
		store.ForgetHistory()
		write(ctx, "c", "3")
		store.ForgetHistory()
		before := store.CallCount("read")
		Eventually(func() int { return store.CallCount("read") }).Should(BeNumerically(">", before))
		Expect(followed.seen()).To(HaveKeyWithValue("a", "1"))
		store.SetFixedPage(nil)
		Eventually(followed.seen).Should(HaveKeyWithValue("c", "3"))
	})

	It("logs how often and why the table could not be followed", func() {
		core, logged := observer.New(zap.InfoLevel)
		failing := memorystore.New()
		failing.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultThrottled })
		running, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			watch.Run(running, watch.Options{Store: failing, Table: "t", MaxWait: 20 * time.Millisecond, Log: zap.New(core)}, &follower{})
		}()
		DeferCleanup(func() { cancel(); <-done })
		Eventually(func() int { return failing.CallCount("read") }).Should(BeNumerically(">=", 2))
		lines := func() []observer.LoggedEntry { return logged.FilterMessage("watch: following again.").All() }
		Expect(lines()).To(BeEmpty())
		failing.SetFaultFunc(nil)
		Eventually(lines).Should(HaveLen(1))
		fields := lines()[0].ContextMap()
		Expect(fields).To(HaveKeyWithValue("table", "t"))
		Expect(fields).To(HaveKeyWithValue("failures", BeNumerically(">=", 2)))
		Expect(fields["lastCause"]).To(ContainSubstring(state.ErrThrottled.Error()))
	})

	It("continues after an outage of the store", func(ctx SpecContext) {
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		before := store.CallCount("feed")
		Eventually(func() int { return store.CallCount("feed") }).Should(BeNumerically(">", before+1))
		store.SetFaultFunc(nil)
		write(ctx, "b", "2")
		Eventually(followed.seen).Should(HaveKeyWithValue("b", "2"))
	})
})

var _ = Describe("AnswerTime", func() {
	// Guards against an age that a step of the time of day changes.
	It("keeps the reading of the monotonic clock", func() {
		var answered watch.AnswerTime
		_, found := answered.Age()
		Expect(found).To(BeFalse())
		answered.Record(time.Now())
		Expect(watch.TimeOf(&answered).String()).To(ContainSubstring("m=+"), "time.Time prints a monotonic reading so")
		age, found := answered.Age()
		Expect(found).To(BeTrue())
		Expect(age).To(BeNumerically(">=", 0))
	})
})

// suspendedStore is a store whose next answer to a feed that may wait is taken in only after the
// process was suspended.
type suspendedStore struct {
	state.Store
	suspension time.Duration
	waits      []time.Duration // of the feed calls
}

func (s *suspendedStore) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	s.waits = append(s.waits, wait)
	result, err := s.Store.Feed(ctx, table, after, wait)
	if wait > 0 {
		time.Sleep(s.suspension)
		s.suspension = 0
	}
	return result, err
}

// TestAnswerBeforeSuspension guards against an answer that a process receives after it was suspended
// and takes for new.
func TestAnswerBeforeSuspension(t *testing.T) {
	const maxWait, suspension = 2 * time.Second, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &suspendedStore{Store: memorystore.New(), suspension: suspension}
		start := time.Now()
		var confirmed, received []time.Duration
		ctx, cancel := context.WithCancel(context.Background())
		watch.Run(ctx, watch.Options{
			Store: store, Table: "t", MaxWait: maxWait, Log: zap.NewNop(),
			OnAnswer: func(at time.Time) {
				confirmed, received = append(confirmed, at.Sub(start)), append(received, time.Since(start))
				if len(received) == 4 {
					cancel()
				}
			},
		}, &follower{})
		late := maxWait + suspension
		g.Expect(received).To(Equal([]time.Duration{0, late, late, late + maxWait}))
		g.Expect(confirmed).To(Equal([]time.Duration{0, 0, late, late + maxWait}), "the late answer confirms only what was true when it was asked for")
		g.Expect(store.waits).To(Equal([]time.Duration{0, maxWait, 0, maxWait}), "it is followed by a call that is answered at once")
	})
}

// TestChangeDeliveredLate guards against a change that the store gave long before it is received, and
// that counts as what the store says now.
func TestChangeDeliveredLate(t *testing.T) {
	const maxWait, changedAfter, delay = 2 * time.Second, 100 * time.Millisecond, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		memory := memorystore.New()
		store := &suspendedStore{Store: memory, suspension: delay}
		start := time.Now()
		time.AfterFunc(changedAfter, func() { memory.Write(state.Put{Key: state.Key{Table: "t", Name: "a"}}) })
		var confirmed []time.Duration
		ctx, cancel := context.WithTimeout(context.Background(), maxWait+changedAfter)
		defer cancel()
		watch.Run(ctx, watch.Options{
			Store: store, Table: "t", MaxWait: maxWait, Log: zap.NewNop(),
			OnAnswer: func(at time.Time) { confirmed = append(confirmed, at.Sub(start)) },
		}, &follower{})
		g.Expect(confirmed).To(HaveExactElements(BeZero(), BeZero(), Equal(maxWait)), "the change may have been given as soon as it was asked for")
		g.Expect(store.waits).To(HaveLen(4))
		g.Expect(store.waits[2]).To(Equal(maxWait-changedAfter-delay), "the next call ends when the next confirmation is due")
	})
}

// TestReadingIsNoConfirmation guards against a reading that is behind and counts as what the store says
// now, in a process that knows no version yet.
func TestReadingIsNoConfirmation(t *testing.T) {
	const behindFor = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := memorystore.New()
		row := state.Key{Table: "t", Name: "a"}
		store.Write(state.Put{Key: row, Value: []byte("old")})
		store.SetFixedPage(&state.Page{Version: 1, Rows: []state.Row{{Key: row, Value: []byte("old"), Version: 1}}})
		store.Write(state.Put{Key: row, Value: []byte("new")})
		store.ForgetHistory()
		time.AfterFunc(behindFor, func() { store.SetFixedPage(nil) })
		followed := &follower{}
		var known []string
		ctx, cancel := context.WithTimeout(context.Background(), 2*behindFor)
		defer cancel()
		watch.Run(ctx, watch.Options{
			Store: store, Table: "t", MaxWait: time.Second, Log: zap.NewNop(),
			OnAnswer: func(time.Time) { known = append(known, followed.seen()["a"]) },
		}, followed)
		g.Expect(known).NotTo(BeEmpty())
		g.Expect(known).To(HaveEach("new"), "the old value was never the newest one")
	})
}
