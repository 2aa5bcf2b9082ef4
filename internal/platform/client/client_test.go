package client_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/lab/weightstore"
	"github.com/thymeloft/thymeloft/internal/platform"
	"github.com/thymeloft/thymeloft/internal/platform/client"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform client")
}

func startServer(handler http.Handler) *standin.Server {
	server, err := standin.Start("127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

var _ = Describe("a failing service", func() {
	var (
		ctx     context.Context
		store   *weightstore.Store
		server  *standin.Server
		weights *client.WeightStore
	)

	BeforeEach(func() {
		ctx = context.Background()
		store = weightstore.New(weightstore.Options{DefaultBytes: 7})
		server = startServer(store)
		weights = client.NewWeightStore(server.URL(), &http.Client{})
	})

	size := func(ctx context.Context) error {
		_, err := weights.Size(ctx, "m", "1")
		return err
	}

	It("opens the breaker while it is unavailable, and closes it after a successful trial", func() {
		limits := client.DefaultLimits
		limits.FailureThreshold = 2
		limits.OpenDuration = 50 * time.Millisecond
		weights = client.NewWeightStore(server.URL(), &http.Client{}, client.WithLimits(limits))
		store.Faults.Set([]standin.Rule{{Point: standin.PointBefore, Action: standin.ActionRefuse}})
		for range 5 {
			Expect(size(ctx)).To(MatchError(platform.ErrUnavailable))
		}
		Expect(store.Faults.List().Rules[0].Met).To(BeNumerically("<", 5))
		store.Faults.Set(nil)
		Eventually(func() error { return size(ctx) }).Should(Succeed())
	})

	It("does not block more requests than its queue allows while it is slow", func() {
		limits := client.DefaultLimits
		limits.MaxQueued = 1
		weights = client.NewWeightStore(server.URL(), &http.Client{}, client.WithLimits(limits))
		store.Faults.Set([]standin.Rule{{Point: standin.PointBefore, Action: standin.ActionHold}})
		short, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- size(short) }()
		Eventually(func() int { return store.Faults.List().Rules[0].Holding }).Should(Equal(1))
		Expect(size(ctx)).To(MatchError(platform.ErrRateLimited))
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("is unavailable if it refuses connections", func() {
		server.Close()
		Expect(size(ctx)).To(MatchError(platform.ErrUnavailable))
	})
})

var _ = Describe("WeightStore", func() {
	It("returns sizes, ErrNotFound for an unknown version, and ErrRateLimited above the rate limit", func() {
		ctx := context.Background()
		store := weightstore.New(weightstore.Options{Sizes: map[string]int64{"m/1": 7}, RequestsPerSecond: 0.001, Burst: 2})
		weights := client.NewWeightStore(startServer(store).URL(), &http.Client{})
		Expect(weights.Size(ctx, "m", "1")).To(Equal(int64(7)))
		_, err := weights.Size(ctx, "m", "2")
		Expect(err).To(MatchError(platform.ErrNotFound))
		_, err = weights.Size(ctx, "m", "1")
		Expect(err).To(MatchError(platform.ErrRateLimited))
	})
})
