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

// The sizes of a usual program in bytes: first inputs of 14 KB, of which 12.6 KB are
// those of many programs, and 3 KB with each turn.
const (
	commonBytes   = 12600
	firstOwnBytes = 1400
	turnBytes     = 3000
	usualRowBytes = 64 << 10
)

// usualOptions are those of a daemon in service.
func usualOptions(store state.Store) turn.Options {
	options := optionsOf(store)
	options.RowBytes = usualRowBytes
	options.CacheEntries = 2048
	options.CacheBytes = 12 << 20
	return options
}

// randomText is a text of so many bytes that is like no other.
func randomText(random *rand.Rand, size int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz 0123456789"
	content := make([]byte, size)
	for index := range content {
		content[index] = letters[random.IntN(len(letters))]
	}
	return content
}

// program runs the turns of one program, each at the next of the daemons, and returns
// the conversation.
func program(ctx context.Context, daemons []*turn.Records, random *rand.Rand, name string, common []byte, turns int) string {
	GinkgoHelper()
	history := ""
	var previous *turn.Turn
	for number := range turns {
		records := daemons[number%len(daemons)]
		if number > 0 {
			var err error
			previous, err = records.Load(ctx, fmt.Sprint(name, "-", number-1), "")
			Expect(err).NotTo(HaveOccurred())
		}
		added := turn.Addition{Previous: previous, Engine: "e", Input: randomText(random, turnBytes-500), Output: randomText(random, 500)}
		if number == 0 {
			added.Input = append(append([]byte(nil), common...), randomText(random, firstOwnBytes)...)
		}
		Expect(records.Save(ctx, fmt.Sprint(name, "-", number), added, time.Minute)).To(Succeed())
		history += string(added.Input) + string(added.Output)
	}
	return history
}

var _ = Describe("The bytes kept of conversations", func() {
	// A store that holds 400 MB was full after some 3,000 programs whose turns each held
	// the whole conversation: a program of 11 turns took 350 KB. The bounds are what the
	// turns add and a tenth: names of earlier turns, digests, rows' envelopes.
	It("grow with what turns add, and hold once what programs share", func(ctx SpecContext) {
		store := memorystore.New()
		daemons := []*turn.Records{turn.NewRecords(usualOptions(store)), turn.NewRecords(usualOptions(store))}
		random := rand.New(rand.NewPCG(1, 2))
		common := randomText(random, commonBytes)
		const programs, turns = 100, 11
		for number := range programs {
			program(ctx, daemons, random, fmt.Sprint("p", number), common, turns)
		}
		own := firstOwnBytes + (turns-1)*turnBytes + 500
		held := commonBytes * 2 // the piece, and what the first program holds itself
		Expect(store.Bytes()).To(BeNumerically("<", (programs*own+held)*11/10))
	})

	It("hold the whole conversation of a turn that another daemon goes on from", func(ctx SpecContext) {
		store := memorystore.New()
		random := rand.New(rand.NewPCG(1, 2))
		common := randomText(random, commonBytes)
		for number, turns := range []int{1, 2, 11, 33, 34, 70} {
			daemons := []*turn.Records{turn.NewRecords(usualOptions(store)), turn.NewRecords(usualOptions(store)), turn.NewRecords(usualOptions(store))}
			name := fmt.Sprint("p", number)
			history := program(ctx, daemons, random, name, common, turns)
			loaded, err := turn.NewRecords(usualOptions(store)).Load(ctx, fmt.Sprint(name, "-", turns-1), "")
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded) == history).To(BeTrue(), "%d turns", turns)
			Expect(loaded.Length()).To(Equal(len(history)))
		}
	})

	It("do not grow with the length of a long conversation", func(ctx SpecContext) {
		store := memorystore.New()
		records := turn.NewRecords(usualOptions(store))
		var previous *turn.Turn
		var sizes []int
		for number := range 200 {
			before := store.Bytes()
			name := fmt.Sprintf("turn-%03d", number)
			Expect(records.Save(ctx, name, turn.Addition{Previous: previous, Input: []byte("x")}, time.Minute)).To(Succeed())
			sizes = append(sizes, store.Bytes()-before)
			var err error
			previous, err = records.Load(ctx, name, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(sizes[199]).To(Equal(sizes[40]))
	})

	It("are read in two steps for a chain of a usual length", func(ctx SpecContext) {
		store := memorystore.New()
		writer := turn.NewRecords(usualOptions(store))
		program(ctx, []*turn.Records{writer}, rand.New(rand.NewPCG(1, 2)), "p", nil, 22)
		before := store.Calls("read")
		_, err := turn.NewRecords(usualOptions(store)).Load(ctx, "p-21", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Calls("read") - before).To(Equal(22))
	})
})

var _ = Describe("A conversation", func() {
	var store *memorystore.Store
	var now time.Time

	BeforeEach(func() { store, now = memorystore.New(), time.Unix(1000000, 0) })

	// daemon makes records whose clock is the spec's.
	daemon := func() *turn.Records {
		options := usualOptions(store)
		options.Now = func() time.Time { return now }
		return turn.NewRecords(options)
	}
	// save goes on from a turn at a daemon of its own; "": from none.
	save := func(ctx context.Context, previous, identifier, content string) {
		GinkgoHelper()
		records := daemon()
		added := turn.Addition{Input: []byte(content)}
		if previous != "" {
			var err error
			added.Previous, err = records.Load(ctx, previous, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(records.Save(ctx, identifier, added, time.Minute)).To(Succeed())
	}
	load := func(ctx context.Context, identifier string) string {
		GinkgoHelper()
		loaded, err := daemon().Load(ctx, identifier, "")
		Expect(err).NotTo(HaveOccurred())
		return historyOf(loaded)
	}
	sweep := func(ctx context.Context) (removed int) {
		GinkgoHelper()
		sweep := turn.Leftovers(clientOf(store), func(string) bool { return true }, func() time.Time { return now }, nil)
		for _, partition := range sweep.Partitions {
			count, err := sweep.Partition(ctx, partition)
			Expect(err).NotTo(HaveOccurred())
			removed += count
		}
		return removed
	}

	sweepPieces := func(ctx context.Context) {
		GinkgoHelper()
		sweep := piece.Leftovers(clientOf(store), func(string) bool { return true }, func() time.Time { return now }, nil)
		for _, partition := range sweep.Partitions {
			_, err := sweep.Partition(ctx, partition)
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

	It("is whole when the turns that it goes on from are removed before it", func(ctx SpecContext) {
		save(ctx, "", "a", "A")
		for number := range 8 { // a turn each 50 s of a minute's retention
			now = now.Add(50 * time.Second)
			save(ctx, strings.Repeat("a", number+1), strings.Repeat("a", number+2), "B")
			sweep(ctx)
		}
		Expect(sweep(ctx) + len(load(ctx, "aaaaaaaaa"))).To(Equal(9))
		now = now.Add(time.Minute)
		Expect(load(ctx, "aaaaaaaaa")).To(Equal("ABBBBBBBB"))
	})

	DescribeTable("is whole until the end of what was promised when a piece that it shares is over before", func(ctx SpecContext, cached bool) {
		common := strings.Repeat("common ", 1000)
		save(ctx, "", "other", common+"other")
		shared := daemon()
		Expect(shared.Save(ctx, "first", text(common+"first"), time.Minute)).To(Succeed())
		Expect(shared.Save(ctx, "second", text(common+"second"), time.Minute)).To(Succeed())
		const promised = time.Minute + 30*time.Second
		const pieceLasts = 2 * (2*time.Minute + 30*time.Second) // twice what a turn's rows last
		now = now.Add(pieceLasts - promised)                    // the last moment at which a turn may refer to the piece
		Expect(shared.Save(ctx, "a", text(common+"a"), time.Minute)).To(Succeed())
		reader := shared
		if !cached {
			reader = daemon()
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
		Entry("at the daemon that had it in memory", true),
		Entry("at a daemon that read it", false),
	)

	It("goes on from a turn of the former format", func(ctx SpecContext) {
		writeFormer(store, "a", "A", now.Add(time.Minute))
		Expect(load(ctx, "a")).To(Equal("A"))
		save(ctx, "a", "b", "B")
		now = now.Add(time.Minute + time.Second)
		Expect(sweep(ctx)).To(Equal(1))
		Expect(load(ctx, "b")).To(Equal("AB"))
	})

	It("is in memory once, however many turns go on from it", func(ctx SpecContext) {
		records := daemon()
		Expect(records.Save(ctx, "a", text(strings.Repeat("x", 1<<20)), time.Minute)).To(Succeed())
		previous, err := records.Load(ctx, "a", "")
		Expect(err).NotTo(HaveOccurred())
		for number := range 200 { // copies would take 200 MB, and the cache has 12
			Expect(records.Save(ctx, fmt.Sprint("b", number), turn.Addition{Previous: previous, Input: []byte("y")}, time.Minute)).To(Succeed())
		}
		Expect(records.Cached("a")).To(BeTrue())
		Expect(records.Cached("b0")).To(BeTrue())
	})

	It("is given up in memory when turns add more than is kept there", func(ctx SpecContext) {
		records := daemon()
		for number := range 30 {
			Expect(records.Save(ctx, fmt.Sprint("a", number), text(strings.Repeat("x", 1<<20)), time.Minute)).To(Succeed())
			Expect(records.CachedBytes()).To(BeNumerically("<=", 12<<20))
		}
		Expect(records.Cached("a0")).To(BeFalse())
		Expect(records.Cached("a29")).To(BeTrue())
	})
})
