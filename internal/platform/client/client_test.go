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

func start(handler http.Handler) *standin.Server {
	server, err := standin.Start("127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

var _ = Describe("a service that misbehaves", func() {
	var (
		ctx     context.Context
		stand   *weightstore.Store
		server  *standin.Server
		weights *client.Weights
	)

	BeforeEach(func() {
		ctx = context.Background()
		stand = weightstore.New(weightstore.Options{DefaultBytes: 7})
		server = start(stand)
		weights = client.NewWeights(server.URL(), &http.Client{})
	})

	size := func(ctx context.Context) error {
		_, err := weights.Size(ctx, "m", "1")
		return err
	}

	It("has its breaker opened while it is away, and closed after a trial", func() {
		limits := client.DefaultLimits
		limits.FailuresToOpen = 2
		limits.OpenFor = 50 * time.Millisecond
		weights = client.NewWeights(server.URL(), &http.Client{}, client.WithLimits(limits))
		stand.Faults.Set([]standin.Rule{{Point: standin.PointBefore, Action: standin.ActionRefuse}})
		for range 5 {
			Expect(size(ctx)).To(MatchError(platform.ErrUnavailable))
		}
		Expect(stand.Faults.List().Rules[0].Met).To(BeNumerically("<", 5))
		stand.Faults.Set(nil)
		Eventually(func() error { return size(ctx) }).Should(Succeed())
	})

	It("does not hold up more than its queue allows while it is slow", func() {
		limits := client.DefaultLimits
		limits.MaxQueued = 1
		weights = client.NewWeights(server.URL(), &http.Client{}, client.WithLimits(limits))
		stand.Faults.Set([]standin.Rule{{Point: standin.PointBefore, Action: standin.ActionHold}})
		short, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- size(short) }()
		Eventually(func() int { return stand.Faults.List().Rules[0].Holding }).Should(Equal(1))
		Expect(size(ctx)).To(MatchError(platform.ErrRateLimited))
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("is unavailable when no connection was made", func() {
		server.Close()
		Expect(size(ctx)).To(MatchError(platform.ErrUnavailable))
	})
})

var _ = Describe("Weights", func() {
	It("tells sizes and rate limits of weights", func() {
		ctx := context.Background()
		store := weightstore.New(weightstore.Options{Sizes: map[string]int64{"m/1": 7}, RequestsPerSecond: 0.001, Burst: 2})
		weights := client.NewWeights(start(store).URL(), &http.Client{})
		Expect(weights.Size(ctx, "m", "1")).To(Equal(int64(7)))
		_, err := weights.Size(ctx, "m", "2")
		Expect(err).To(MatchError(platform.ErrNotFound))
		_, err = weights.Size(ctx, "m", "1")
		Expect(err).To(MatchError(platform.ErrRateLimited))
	})
})
