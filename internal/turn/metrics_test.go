package turn_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/turn"
)

var _ = Describe("Metrics of turns", func() {
	It("count the bytes of saved turns until these are removed", func(ctx SpecContext) {
		store, now := memorystore.New(), time.Unix(1000000, 0)
		clock := func() time.Time { return now }
		options := optionsOf(store)
		options.Now = clock
		options.RemovalQueue = retention.NewQueue(options.Store, clock, zap.NewNop())
		repository := turn.NewRepository(options)
		registry := prometheus.NewRegistry()
		Expect(repository.RegisterMetrics(registry)).To(Succeed())
		keptBytes := func() float64 {
			GinkgoHelper()
			families, err := registry.Gather()
			Expect(err).NotTo(HaveOccurred())
			for _, family := range families {
				if family.GetName() == "thymeloft_turn_kept_bytes" {
					return family.GetMetric()[0].GetGauge().GetValue()
				}
			}
			Fail("no such metric")
			return 0
		}
		for _, name := range []string{"a", "b"} {
			Expect(repository.Save(ctx, name, firstTurn("content"), time.Minute)).To(Succeed())
		}
		Expect(keptBytes()).To(BeNumerically(">", 0))
		Expect(keptBytes()).To(BeNumerically("<=", store.ValueBytes()))
		Expect(options.RemovalQueue.RemoveDue(ctx)).To(Succeed())
		Expect(keptBytes()).To(BeNumerically(">", 0))
		now = now.Add(3 * time.Minute)
		Expect(options.RemovalQueue.RemoveDue(ctx)).To(Succeed())
		Expect(keptBytes()).To(BeZero())
		Expect(store.ValueBytes()).To(BeZero())
	})
})
