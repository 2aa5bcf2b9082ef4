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

var _ = Describe("Piece", func() {
	const rowBytes, cacheBytes = 200, 8000
	content := bytes.Repeat([]byte("content "), 100)
	var store *memorystore.Store
	var now time.Time

	newClient := func() *state.Client {
		return state.NewClient(state.ClientOptions{Store: store, Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {})})
	}
	newPieces := func() *piece.Pieces {
		return piece.New(piece.Options{Store: newClient(), MaxRowBytes: rowBytes, MaxCacheBytes: cacheBytes})
	}
	unixIn := func(after time.Duration) int64 { return now.Add(after).Unix() }
	sweep := func(ctx context.Context, duringSweep func()) (removed int) {
		GinkgoHelper()
		sweep := piece.NewSweep(newClient(), func(string) bool { return true }, func() time.Time { return now }, zap.NewNop())
		isExpired := sweep.IsExpired
		sweep.IsExpired = func(row state.Row) bool {
			expired := isExpired(row)
			if duringSweep != nil {
				duringSweep()
			}
			return expired
		}
		for _, partition := range sweep.Partitions {
			count, err := sweep.SweepPartition(ctx, partition)
			if err == nil {
				removed += count
			}
		}
		return removed
	}

	BeforeEach(func() { store, now = memorystore.New(), time.Unix(1000000, 0) })

	It("is stored once for all daemons and read by each", func(ctx SpecContext) {
		for range 3 {
			stored, err := newPieces().Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Hour))
			Expect(err).NotTo(HaveOccurred())
			Expect(stored.Expires).To(Equal(unixIn(time.Hour)))
		}
		before := store.ValueBytes()
		Expect(before).To(BeNumerically("<", len(content)*5/4))
		loaded, err := newPieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Content).To(Equal(content))
	})

	It("needs no store call if the cache shows a sufficient expiry time", func(ctx SpecContext) {
		pieces := newPieces()
		for range 3 {
			_, err := pieces.Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Hour))
			Expect(err).NotTo(HaveOccurred())
			_, err = pieces.Load(ctx, piece.ReferenceOf(content))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(store.CallCount("commit")).To(Equal(1))
		Expect(store.CallCount("read")).To(BeZero())
	})

	It("never gets an earlier expiry time than one confirmed to another daemon", func(ctx SpecContext) {
		_, err := newPieces().Ensure(ctx, content, unixIn(time.Hour), unixIn(time.Hour))
		Expect(err).NotTo(HaveOccurred())
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.FaultLate
			}
			return memorystore.FaultNone
		})
		shortCtx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		_, err = newPieces().Ensure(shortCtx, content, unixIn(time.Minute), unixIn(time.Minute))
		Expect(err).To(HaveOccurred())
		store.SetFaultFunc(nil)
		store.ApplyLateCommits()
		stored, err := newPieces().Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Expires).To(Equal(unixIn(time.Hour)))
		now = now.Add(30 * time.Minute)
		sweep(ctx, nil) // removes copies that the delayed commits wrote to other partitions
		loaded, err := newPieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Expires).To(Equal(stored.Expires))
	})

	It("is written again if it expires too early", func(ctx SpecContext) {
		pieces := newPieces()
		_, err := pieces.Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		stored, err := pieces.Ensure(ctx, content, unixIn(2*time.Minute), unixIn(time.Hour))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Expires).To(Equal(unixIn(time.Hour)))
		now = now.Add(30 * time.Minute)
		Expect(sweep(ctx, nil)).To(BeZero())
	})

	It("is retained if it is written again during a sweep", func(ctx SpecContext) {
		_, err := newPieces().Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		rewritten := false
		sweep(ctx, func() {
			if rewritten {
				return
			}
			rewritten = true
			_, err := newPieces().Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Hour))
			Expect(err).NotTo(HaveOccurred())
		})
		Expect(rewritten).To(BeTrue())
		_, err = newPieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).NotTo(HaveOccurred())
	})

	It("is removed after its expiry time", func(ctx SpecContext) {
		_, err := newPieces().Ensure(ctx, content, unixIn(time.Minute), unixIn(time.Minute))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		Expect(sweep(ctx, nil)).To(BeNumerically(">", 1))
		Expect(store.ValueBytes()).To(BeZero())
		_, err = newPieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).To(MatchError(piece.ErrNotFound))
	})

	It("is not reported as missing if a partition does not respond", func(ctx SpecContext) {
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		_, err := newPieces().Load(ctx, piece.ReferenceOf(content))
		Expect(err).To(MatchError(state.ErrNotExecuted))
	})

	It("takes a bounded amount of memory", func() {
		pieces := newPieces()
		for number := range 100 {
			pieces.Intern(bytes.Repeat([]byte{byte(number)}, 500))
		}
		Expect(pieces.CachedBytes()).To(BeNumerically("<=", cacheBytes))
		pieces.Intern(make([]byte, cacheBytes))
		Expect(pieces.CachedBytes()).To(BeNumerically("<=", cacheBytes))
	})
})
