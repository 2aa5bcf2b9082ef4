package turn_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// Sizes of a typical program in bytes: the first input of 14,000 bytes starts with 12,600 bytes
// that many programs share, and each later turn adds 3,000 bytes.
const (
	commonBytes     = 12600
	firstOwnBytes   = 1400
	turnBytes       = 3000
	typicalRowBytes = 64 << 10
)

// typicalOptions returns options like those of a daemon in production.
func typicalOptions(store state.Store) turn.Options {
	options := optionsOf(store)
	options.MaxRowBytes = typicalRowBytes
	options.MaxCacheEntries = 2048
	options.MaxCacheBytes = 12 << 20
	return options
}

// randomText returns random text of the given size in bytes.
func randomText(random *rand.Rand, size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz 0123456789"
	content := make([]byte, size)
	for index := range content {
		content[index] = letters[random.IntN(len(letters))]
	}
	return content
}

// saveProgram saves the given number of turns of one program, using the daemons in rotation, and
// returns the whole conversation.
func saveProgram(ctx context.Context, daemons []*turn.Repository, random *rand.Rand, name string, common []byte, turns int) string {
	GinkgoHelper()
	history := ""
	var previous *turn.Turn
	for number := range turns {
		repository := daemons[number%len(daemons)]
		if number > 0 {
			var err error
			previous, err = repository.Load(ctx, fmt.Sprint(name, "-", number-1), "")
			Expect(err).NotTo(HaveOccurred())
		}
		added := turn.Addition{Previous: previous, Engine: "e", Input: randomText(random, turnBytes-500), Output: randomText(random, 500)}
		if number == 0 {
			added.Input = append(append([]byte(nil), common...), randomText(random, firstOwnBytes)...)
		}
		Expect(repository.Save(ctx, fmt.Sprint(name, "-", number), added, time.Minute)).To(Succeed())
		history += string(added.Input) + string(added.Output)
	}
	return history
}

var _ = Describe("Conversations in the store", func() {
	// Guards against storing the whole conversation with each turn. The limit is the size of what
	// the turns add, plus 10 % for identifiers of earlier turns, digests and row headers.
	It("take as many bytes as their turns add, and hold shared prefixes once", func(ctx SpecContext) {
		store := memorystore.New()
		daemons := []*turn.Repository{turn.NewRepository(typicalOptions(store)), turn.NewRepository(typicalOptions(store))}
		random := rand.New(rand.NewPCG(1, 2))
		common := randomText(random, commonBytes)
		const programs, turns = 100, 11
		for number := range programs {
			saveProgram(ctx, daemons, random, fmt.Sprint("p", number), common, turns)
		}
		own := firstOwnBytes + (turns-1)*turnBytes + 500
		held := commonBytes * 2 // the piece, and the first program's own copy of the prefix
		Expect(store.ValueBytes()).To(BeNumerically("<", (programs*own+held)*11/10))
	})

	It("are loaded whole by another daemon, whatever the number of turns", func(ctx SpecContext) {
		store := memorystore.New()
		random := rand.New(rand.NewPCG(1, 2))
		common := randomText(random, commonBytes)
		for number, turns := range []int{1, 2, 11, 33, 34, 70} {
			daemons := []*turn.Repository{turn.NewRepository(typicalOptions(store)), turn.NewRepository(typicalOptions(store)), turn.NewRepository(typicalOptions(store))}
			name := fmt.Sprint("p", number)
			history := saveProgram(ctx, daemons, random, name, common, turns)
			loaded, err := turn.NewRepository(typicalOptions(store)).Load(ctx, fmt.Sprint(name, "-", turns-1), "")
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded) == history).To(BeTrue(), "%d turns", turns)
			Expect(loaded.Size()).To(Equal(len(history)))
		}
	})

	It("take a constant number of bytes for each turn beyond maxAncestors turns", func(ctx SpecContext) {
		store := memorystore.New()
		repository := turn.NewRepository(typicalOptions(store))
		var previous *turn.Turn
		var sizes []int
		for number := range 200 {
			before := store.ValueBytes()
			name := fmt.Sprintf("turn-%03d", number)
			Expect(repository.Save(ctx, name, turn.Addition{Previous: previous, Input: []byte("x")}, time.Minute)).To(Succeed())
			sizes = append(sizes, store.ValueBytes()-before)
			var err error
			previous, err = repository.Load(ctx, name, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(sizes[199]).To(Equal(sizes[40]))
	})

	It("are loaded with one read for each turn", func(ctx SpecContext) {
		store := memorystore.New()
		writer := turn.NewRepository(typicalOptions(store))
		saveProgram(ctx, []*turn.Repository{writer}, rand.New(rand.NewPCG(1, 2)), "p", nil, 22)
		before := store.CallCount("read")
		_, err := turn.NewRepository(typicalOptions(store)).Load(ctx, "p-21", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.CallCount("read") - before).To(Equal(22))
	})
})

var _ = Describe("A conversation", func() {
	var store *memorystore.Store
	var now time.Time

	BeforeEach(func() { store, now = memorystore.New(), time.Unix(1000000, 0) })

	// newDaemon returns the Repository of a new daemon whose clock shows the variable now.
	newDaemon := func() *turn.Repository {
		options := typicalOptions(store)
		options.Now = func() time.Time { return now }
		return turn.NewRepository(options)
	}
	// save saves a turn at a new daemon. It continues the turn previous, or starts a conversation
	// if previous is empty.
	save := func(ctx context.Context, previous, identifier, content string) {
		GinkgoHelper()
		repository := newDaemon()
		added := turn.Addition{Input: []byte(content)}
		if previous != "" {
			var err error
			added.Previous, err = repository.Load(ctx, previous, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(repository.Save(ctx, identifier, added, time.Minute)).To(Succeed())
	}
	// load returns the whole conversation as a new daemon loads it.
	load := func(ctx context.Context, identifier string) string {
		GinkgoHelper()
		loaded, err := newDaemon().Load(ctx, identifier, "")
		Expect(err).NotTo(HaveOccurred())
		return historyOf(loaded)
	}
	// sweep removes the expired rows of turns and returns their number.
	sweep := func(ctx context.Context) (removed int) {
		GinkgoHelper()
		sweep := turn.NewSweep(clientOf(store), func(string) bool { return true }, func() time.Time { return now }, nil)
		for _, partition := range sweep.Partitions {
			count, err := sweep.SweepPartition(ctx, partition)
			Expect(err).NotTo(HaveOccurred())
			removed += count
		}
		return removed
	}

	// sweepPieces removes the expired rows of pieces.
	sweepPieces := func(ctx context.Context) {
		GinkgoHelper()
		sweep := piece.NewSweep(clientOf(store), func(string) bool { return true }, func() time.Time { return now }, nil)
		for _, partition := range sweep.Partitions {
			_, err := sweep.SweepPartition(ctx, partition)
			Expect(err).NotTo(HaveOccurred())
		}
	}

	It("forks", func(ctx SpecContext) {
		save(ctx, "", "a", "A")
		save(ctx, "a", "b", "B")
		save(ctx, "a", "c", "C")
		save(ctx, "b", "d", "D")
		Expect(load(ctx, "d")).To(Equal("ABD"))
		Expect(load(ctx, "c")).To(Equal("AC"))
	})

	It("stays whole when earlier turns are removed before it", func(ctx SpecContext) {
		save(ctx, "", "a", "A")
		for number := range 8 { // a turn every 50 s, with a retention of one minute
			now = now.Add(50 * time.Second)
			save(ctx, strings.Repeat("a", number+1), strings.Repeat("a", number+2), "B")
			sweep(ctx)
		}
		Expect(sweep(ctx) + len(load(ctx, "aaaaaaaaa"))).To(Equal(9))
		now = now.Add(time.Minute)
		Expect(load(ctx, "aaaaaaaaa")).To(Equal("ABBBBBBBB"))
	})

	DescribeTable("stays whole until its retention and margin have passed although its shared piece expires earlier", func(ctx SpecContext, cached bool) {
		common := strings.Repeat("common ", 1000)
		save(ctx, "", "other", common+"other")
		shared := newDaemon()
		Expect(shared.Save(ctx, "first", firstTurn(common+"first"), time.Minute)).To(Succeed())
		Expect(shared.Save(ctx, "second", firstTurn(common+"second"), time.Minute)).To(Succeed())
		const promised = time.Minute + 30*time.Second
		const pieceLifetime = 2 * (2*time.Minute + 30*time.Second) // twice the lifetime of a turn's rows
		now = now.Add(pieceLifetime - promised)                    // the last time at which a turn can refer to the piece
		Expect(shared.Save(ctx, "a", firstTurn(common+"a"), time.Minute)).To(Succeed())
		reader := shared
		if !cached {
			reader = newDaemon()
		}
		now = now.Add(50 * time.Second)
		previous, err := reader.Load(ctx, "a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(reader.Save(ctx, "b", turn.Addition{Previous: previous, Input: []byte("B")}, time.Minute)).To(Succeed())
		now = now.Add(promised)
		sweep(ctx)
		sweepPieces(ctx)
		Expect(load(ctx, "b")).To(Equal(common + "aB"))
	},
		Entry("continued by the daemon that has it in memory", true),
		Entry("continued by a daemon that reads it from the store", false),
	)

	It("continues a turn in the legacy format", func(ctx SpecContext) {
		writeLegacyTurn(store, "a", "A", now.Add(time.Minute))
		Expect(load(ctx, "a")).To(Equal("A"))
		save(ctx, "a", "b", "B")
		now = now.Add(time.Minute + time.Second)
		Expect(sweep(ctx)).To(Equal(1))
		Expect(load(ctx, "b")).To(Equal("AB"))
	})

	It("is in memory once, however many turns continue it", func(ctx SpecContext) {
		repository := newDaemon()
		Expect(repository.Save(ctx, "a", firstTurn(strings.Repeat("x", 1<<20)), time.Minute)).To(Succeed())
		previous, err := repository.Load(ctx, "a", "")
		Expect(err).NotTo(HaveOccurred())
		for number := range 200 { // copies would take 200 MiB, and the cache is limited to 12 MiB
			Expect(repository.Save(ctx, fmt.Sprint("b", number), turn.Addition{Previous: previous, Input: []byte("y")}, time.Minute)).To(Succeed())
		}
		Expect(repository.IsCached("a")).To(BeTrue())
		Expect(repository.IsCached("b0")).To(BeTrue())
	})

	It("is dropped from memory when newer turns exceed the limit of the cache", func(ctx SpecContext) {
		repository := newDaemon()
		for number := range 30 {
			Expect(repository.Save(ctx, fmt.Sprint("a", number), firstTurn(strings.Repeat("x", 1<<20)), time.Minute)).To(Succeed())
			Expect(repository.CachedBytes()).To(BeNumerically("<=", 12<<20))
		}
		Expect(repository.IsCached("a0")).To(BeFalse())
		Expect(repository.IsCached("a29")).To(BeTrue())
	})
})
