package turn_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// heldStore is a store whose reads of rows whose names begin with heldPrefix wait for released.
type heldStore struct {
	*memorystore.Store
	released chan struct{}
	waiting  atomic.Int64

	mutex               sync.Mutex
	parallel            int // reads in progress
	mostParallel        int // the largest value of parallel
	parallelCommits     int // commits in progress
	mostParallelCommits int // the largest value of parallelCommits
}

const heldPrefix = "held"

func newHeldStore() *heldStore {
	return &heldStore{Store: memorystore.New(), released: make(chan struct{})}
}

// Read implements state.Store. Each read takes a moment, so that those that may overlap do.
func (s *heldStore) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	s.countRead(1)
	defer s.countRead(-1)
	if strings.HasPrefix(selected.From, heldPrefix) {
		s.waiting.Add(1)
		<-s.released
	}
	time.Sleep(time.Millisecond)
	return s.Store.Read(ctx, selected)
}

func (s *heldStore) countRead(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.parallel += change
	s.mostParallel = max(s.mostParallel, s.parallel)
}

// Commit implements state.Store. Like Read, it takes a moment.
func (s *heldStore) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	s.countCommit(1)
	defer s.countCommit(-1)
	time.Sleep(time.Millisecond)
	return s.Store.Commit(ctx, commit)
}

func (s *heldStore) countCommit(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.parallelCommits += change
	s.mostParallelCommits = max(s.mostParallelCommits, s.parallelCommits)
}

var _ = Describe("A repository with little memory", func() {
	const conversationBytes = 30 << 10
	var (
		store   *heldStore
		now     time.Time
		options turn.Options
	)
	save := func(ctx context.Context, name string, bytes int) {
		GinkgoHelper()
		Expect(turn.NewRepository(typicalOptions(store)).Save(ctx, name, firstTurn(strings.Repeat("x", bytes)), time.Minute)).To(Succeed())
	}
	// startLoad loads a turn in the background and returns the channel with the result.
	startLoad := func(ctx context.Context, repository *turn.Repository, name string) <-chan error {
		done := make(chan error, 1)
		go func() {
			_, err := repository.Load(ctx, name, "")
			done <- err
		}()
		return done
	}
	// impatient returns a context that ends soon, for loads and saves that have to wait.
	impatient := func(ctx context.Context) context.Context {
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		DeferCleanup(cancel)
		return short
	}

	BeforeEach(func() {
		store = newHeldStore()
		now = time.Now()
		options = typicalOptions(store)
		options.Now = func() time.Time { return now }
		options.MaxCopyBytes = 4 * conversationBytes
	})

	// Guards against processes that exceed their memory when all turns that waited for the store load at once.
	It("loads as many conversations at a time as fit", func(ctx SpecContext) {
		const loads = 8
		for number := range loads {
			save(ctx, fmt.Sprint("t", number), conversationBytes)
		}
		repository := turn.NewRepository(options)
		var pending []<-chan error
		for number := range loads {
			pending = append(pending, startLoad(ctx, repository, fmt.Sprint("t", number)))
		}
		for _, each := range pending {
			Expect(<-each).To(Succeed())
		}
		Expect(store.mostParallel).To(Equal(1))
	}, SpecTimeout(time.Minute))

	// Guards against sub-agents that each load the conversation that they share.
	It("reads a conversation once for loads that wait for each other", func(ctx SpecContext) {
		const loads = 5
		save(ctx, "t", conversationBytes)
		before := store.CallCount("read")
		repository := turn.NewRepository(options)
		var pending []<-chan error
		for range loads {
			pending = append(pending, startLoad(ctx, repository, "t"))
		}
		for _, each := range pending {
			Expect(<-each).To(Succeed())
		}
		Expect(store.CallCount("read")).To(Equal(before + 1))
	}, SpecTimeout(time.Minute))

	// Guards against requests that wait for memory beyond their time, or are told that their turn is unknown.
	It("reads nothing for a load that finds no room in its time", func(ctx SpecContext) {
		save(ctx, "held", conversationBytes)
		save(ctx, "t", conversationBytes)
		repository := turn.NewRepository(options)
		first := startLoad(ctx, repository, "held")
		Eventually(store.waiting.Load).Should(BeEquivalentTo(1))
		reads := store.CallCount("read")
		Expect(<-startLoad(impatient(ctx), repository, "t")).To(MatchError(turn.ErrNoMemory))
		Expect(store.CallCount("read")).To(Equal(reads))
		close(store.released)
		Expect(<-first).To(Succeed())
		Expect(<-startLoad(ctx, repository, "t")).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against a large conversation that is loaded beside as many others as small ones may be.
	It("stops loading a conversation that is larger than expected while others hold the room", func(ctx SpecContext) {
		const smallBytes, smallLoads, heldLoads = 100, 20, 3
		options.MaxCopyBytes = 4 * (heldLoads + 1) * (16 << 10)
		save(ctx, "large", conversationBytes)
		repository := turn.NewRepository(options)
		for number := range smallLoads {
			name := fmt.Sprint("small", number)
			save(ctx, name, smallBytes)
			Expect(<-startLoad(ctx, repository, name)).To(Succeed())
		}
		var pending []<-chan error
		for number := range heldLoads {
			name := fmt.Sprint(heldPrefix, number)
			save(ctx, name, smallBytes)
			pending = append(pending, startLoad(ctx, repository, name))
		}
		Eventually(store.waiting.Load).Should(BeEquivalentTo(heldLoads))
		Expect(<-startLoad(ctx, repository, "large")).To(MatchError(turn.ErrNoMemory))
		close(store.released)
		for _, each := range pending {
			Expect(<-each).To(Succeed())
		}
		Expect(<-startLoad(ctx, repository, "large")).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against conversations that can never be loaded.
	It("loads a conversation that exceeds its memory alone", func(ctx SpecContext) {
		options.MaxCopyBytes = 1
		save(ctx, "t", conversationBytes)
		Expect(<-startLoad(ctx, turn.NewRepository(options), "t")).To(Succeed())
	}, SpecTimeout(time.Minute))

	// Guards against large turns that are refused because the copies for saving them don't fit, or that exceed the
	// memory of the process.
	It("stores a large turn alone, and as many of its pieces at a time as fit", func(ctx SpecContext) {
		save(ctx, "held", conversationBytes)
		options.MaxRowBytes = 512
		random := rand.New(rand.NewPCG(1, 1))
		content := randomText(random, conversationBytes)
		repository := turn.NewRepository(options)
		Expect(repository.IsLarge(len(content))).To(BeTrue())
		first := startLoad(ctx, repository, "held")
		Eventually(store.waiting.Load).Should(BeEquivalentTo(1))
		Expect(repository.Save(impatient(ctx), "t", firstTurn(string(content)), time.Minute)).To(MatchError(turn.ErrNoMemory))
		close(store.released)
		Expect(<-first).To(Succeed())
		store.mostParallelCommits = 0
		Expect(repository.Save(ctx, "t", firstTurn(string(content)), time.Minute)).To(Succeed())
		Expect(store.mostParallelCommits).To(BeNumerically(">", 1))

		options.MaxCopyBytes = 1
		narrow := turn.NewRepository(options)
		content = randomText(random, conversationBytes)
		store.mostParallelCommits = 0
		Expect(narrow.Save(ctx, "t2", firstTurn(string(content)), time.Minute)).To(Succeed())
		Expect(store.mostParallelCommits).To(Equal(1))
		loaded, err := turn.NewRepository(options).Load(ctx, "t2", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Size()).To(BeNumerically(">=", len(content)))
	}, SpecTimeout(time.Minute))

	// Guards against copies of whole conversations that are stored anew after their retention.
	It("waits before it stores a conversation whole", func(ctx SpecContext) {
		save(ctx, "held", conversationBytes)
		save(ctx, "t", conversationBytes)
		repository := turn.NewRepository(options)
		previous, err := repository.Load(ctx, "t", "")
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(100 * time.Second) // later than the retention, so that rows can't refer to the previous turn
		next := turn.Addition{Previous: previous, Input: []byte("next")}
		first := startLoad(ctx, repository, "held")
		Eventually(store.waiting.Load).Should(BeEquivalentTo(1))
		Expect(repository.Save(impatient(ctx), "t2", next, time.Minute)).To(MatchError(turn.ErrNoMemory))
		close(store.released)
		Expect(<-first).To(Succeed())
		Expect(repository.Save(ctx, "t2", next, time.Minute)).To(Succeed())
	}, SpecTimeout(time.Minute))
})
