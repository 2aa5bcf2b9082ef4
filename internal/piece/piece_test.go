package piece_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestPiece(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "piece")
}

var _ = Describe("A piece", func() {
	const rowBytes, cacheBytes = 200, 8000
	content := bytes.Repeat([]byte("content "), 100)
	var store *memorystore.Store
	var now time.Time

	client := func() *state.Client {
		return state.NewClient(state.ClientOptions{Store: store, Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {})})
	}
	pieces := func() *piece.Pieces {
		return piece.New(piece.Options{Store: client(), RowBytes: rowBytes, CacheBytes: cacheBytes})
	}
	in := func(after time.Duration) int64 { return now.Add(after).Unix() }
	sweep := func(ctx context.Context, between func()) (removed int) {
		GinkgoHelper()
		sweep := piece.Leftovers(client(), func(string) bool { return true }, func() time.Time { return now }, zap.NewNop())
		over := sweep.Over
		sweep.Over = func(row state.Row) bool {
			isOver := over(row)
			if between != nil {
				between()
			}
			return isOver
		}
		for _, partition := range sweep.Partitions {
			count, err := sweep.Partition(ctx, partition)
			if err == nil {
				removed += count
			}
		}
		return removed
	}

	BeforeEach(func() { store, now = memorystore.New(), time.Unix(1000000, 0) })

	It("is written once by all daemons, and read by each", func(ctx SpecContext) {
		for range 3 {
			stored, err := pieces().Ensure(ctx, content, in(time.Minute), in(time.Hour))
			Expect(err).NotTo(HaveOccurred())
			Expect(stored.Expires).To(Equal(in(time.Hour)))
		}
		before := store.Bytes()
		Expect(before).To(BeNumerically("<", len(content)*5/4))
		loaded, err := pieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Content).To(Equal(content))
	})

	It("needs no call where it is known to be kept for long enough", func(ctx SpecContext) {
		own := pieces()
		for range 3 {
			_, err := own.Ensure(ctx, content, in(time.Minute), in(time.Hour))
			Expect(err).NotTo(HaveOccurred())
			_, err = own.Load(ctx, piece.ReferenceOf(content))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(store.Calls("commit")).To(Equal(1))
		Expect(store.Calls("read")).To(BeZero())
	})

	It("is never kept for less time than another daemon was promised", func(ctx SpecContext) {
		_, err := pieces().Ensure(ctx, content, in(time.Hour), in(time.Hour))
		Expect(err).NotTo(HaveOccurred())
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.Late
			}
			return memorystore.None
		})
		short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		_, err = pieces().Ensure(short, content, in(time.Minute), in(time.Minute))
		Expect(err).To(HaveOccurred())
		store.Misbehave(nil)
		store.Release()
		stored, err := pieces().Ensure(ctx, content, in(time.Minute), in(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Expires).To(Equal(in(time.Hour)))
		now = now.Add(30 * time.Minute)
		sweep(ctx, nil) // copies that the late commits put into other places
		loaded, err := pieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Expires).To(Equal(stored.Expires))
	})

	It("is written anew where it is not kept for long enough", func(ctx SpecContext) {
		own := pieces()
		_, err := own.Ensure(ctx, content, in(time.Minute), in(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		stored, err := own.Ensure(ctx, content, in(2*time.Minute), in(time.Hour))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Expires).To(Equal(in(time.Hour)))
		now = now.Add(30 * time.Minute)
		Expect(sweep(ctx, nil)).To(BeZero())
	})

	It("stays when it is written anew while a sweep removes it", func(ctx SpecContext) {
		_, err := pieces().Ensure(ctx, content, in(time.Minute), in(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		anew := false
		sweep(ctx, func() {
			if anew {
				return
			}
			anew = true
			_, err := pieces().Ensure(ctx, content, in(time.Minute), in(time.Hour))
			Expect(err).NotTo(HaveOccurred())
		})
		Expect(anew).To(BeTrue())
		_, err = pieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
	})

	It("is gone after its time", func(ctx SpecContext) {
		_, err := pieces().Ensure(ctx, content, in(time.Minute), in(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		Expect(sweep(ctx, nil)).To(BeNumerically(">", 1))
		Expect(store.Bytes()).To(BeZero())
		_, err = pieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).To(MatchError(piece.ErrMissing))
	})

	It("is not called missing while a place of it does not answer", func(ctx SpecContext) {
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Refused })
		_, err := pieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).To(MatchError(state.ErrNotDone))
	})

	It("is in bounded memory", func() {
		own := pieces()
		for number := range 100 {
			own.Share(bytes.Repeat([]byte{byte(number)}, 500))
		}
		Expect(own.Bytes()).To(BeNumerically("<=", cacheBytes))
		own.Share(make([]byte, cacheBytes))
		Expect(own.Bytes()).To(BeNumerically("<=", cacheBytes))
	})
})
