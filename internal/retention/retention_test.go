package retention_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestRetention(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "retention")
}

var _ = Describe("Expired rows", func() {
	var store *memorystore.Store
	var client *state.Client
	var now time.Time

	key := func(number int) state.Key {
		return state.Key{Table: "t", Partition: fmt.Sprint(number % 3), Name: fmt.Sprint(number)}
	}
	rows := func(ctx SpecContext) (count int) {
		for _, partition := range []string{"0", "1", "2"} {
			page, err := client.Read(ctx, state.Range{Table: "t", Partition: partition})
			Expect(err).NotTo(HaveOccurred())
			count += len(page.Rows)
		}
		return count
	}

	BeforeEach(func(ctx SpecContext) {
		now = time.Unix(1000, 0)
		store = memorystore.New()
		client = state.NewClient(state.ClientOptions{Store: store, Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {})})
		for number := range 250 {
			_, err := store.Commit(ctx, state.Commit{Puts: []state.Put{{Key: key(number), Value: []byte{byte(number)}}}})
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("are removed by their writer, up to a hundred in a commit", func(ctx SpecContext) {
		queue := retention.NewQueue(client, func() time.Time { return now }, zap.NewNop())
		for number := range 250 {
			queue.Add(time.Minute, key(number))
		}
		before := store.CallCount("commit")
		Expect(queue.RemoveDue(ctx)).To(Succeed())
		Expect(rows(ctx)).To(Equal(250))
		now = now.Add(time.Minute)
		Expect(queue.RemoveDue(ctx)).To(Succeed())
		Expect(rows(ctx)).To(BeZero())
		Expect(store.CallCount("commit") - before).To(Equal(3))
	})

	It("are removed in commits of the sweep class, after which OnRemoved is called", func(ctx SpecContext) {
		queue := retention.NewQueue(client, func() time.Time { return now }, zap.NewNop())
		removed := 0
		for number := range 250 {
			queue.AddBatch(time.Minute, retention.Batch{Keys: []state.Key{key(number)}, OnRemoved: func() { removed++ }})
		}
		var classes []state.Class
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			classes = append(classes, call.Commit.Class)
			return memorystore.FaultNone
		})
		Expect(queue.RemoveDue(ctx)).To(Succeed())
		Expect(removed).To(BeZero())
		now = now.Add(time.Minute)
		Expect(queue.RemoveDue(ctx)).To(Succeed())
		Expect(removed).To(Equal(250))
		Expect(classes).To(HaveEach(state.ClassSweep))
	})

	It("are removed soon after TriggerRemoval, without waiting for the interval", func(ctx SpecContext) {
		queue := retention.NewQueue(client, func() time.Time { return now }, zap.NewNop())
		queue.SetInterval(time.Hour)
		queue.Add(0, key(0))
		runCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			queue.Run(runCtx)
		}()
		queue.TriggerRemoval()
		queue.TriggerRemoval()
		Eventually(func() int { return rows(ctx) }).Should(Equal(249))
		cancel()
		Eventually(done).Should(BeClosed())
	})

	It("are removed by the sweep, and other rows are retained", func(ctx SpecContext) {
		sweep := &retention.Sweep{
			Store: client, Table: "t", Log: zap.NewNop(),
			IsExpired: func(row state.Row) bool { return row.Value[0] >= 100 },
		}
		removed := 0
		for _, partition := range []string{"0", "1", "2"} {
			count, err := sweep.SweepPartition(ctx, partition)
			Expect(err).NotTo(HaveOccurred())
			removed += count
		}
		Expect(removed).To(Equal(150))
		Expect(rows(ctx)).To(Equal(100))
	})
})
