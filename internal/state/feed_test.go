package state_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// feedRoute is a route to a store. It records the wait of each feed call, and never answers a call
// that begins while isSilent is true.
type feedRoute struct {
	state.Store
	isSilent func() bool

	mutex sync.Mutex
	waits []time.Duration
}

func (r *feedRoute) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	r.mutex.Lock()
	r.waits = append(r.waits, wait)
	r.mutex.Unlock()
	if r.isSilent() {
		<-ctx.Done()
		return state.FeedResult{}, state.ErrUnknownOutcome
	}
	return r.Store.Feed(ctx, table, after, wait)
}

func alwaysSilent() bool { return true }
func neverSilent() bool  { return false }

func newFeedClient(direct, alternative state.Store) *state.Client {
	return state.NewClient(state.ClientOptions{
		Store: direct, Alternative: alternative, Probe: state.KeyRange(keyIn("probe")),
		Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {}),
	})
}

// TestFeedAsksOverOtherRoute guards against a feed that trusts a silent route for longer than its
// wait.
func TestFeedAsksOverOtherRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const wait = 2 * time.Second
		memory := memorystore.New()
		direct, alternative := &feedRoute{Store: memory, isSilent: alwaysSilent}, &feedRoute{Store: memory, isSilent: neverSilent}
		client := newFeedClient(direct, alternative)
		start := time.Now()
		memory.Write(state.Put{Key: keyIn("p"), Value: []byte("v")})
		result, err := client.Feed(t.Context(), "t", 0, wait)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Rows).To(HaveLen(1))
		g.Expect(time.Since(start)).To(And(BeNumerically(">", wait), BeNumerically("<", wait+100*time.Millisecond)))
		g.Expect(direct.waits).To(Equal([]time.Duration{wait}))
		g.Expect(alternative.waits).To(Equal([]time.Duration{0}))
		synctest.Wait()
	})
}

// TestFeedIsAskedOnceWhileUnchanged guards against further attempts of a feed that answers at the
// end of its wait.
func TestFeedIsAskedOnceWhileUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		memory := memorystore.New()
		direct, alternative := &feedRoute{Store: memory, isSilent: neverSilent}, &feedRoute{Store: memory, isSilent: neverSilent}
		client := newFeedClient(direct, alternative)
		for range 3 {
			_, err := client.Feed(t.Context(), "t", 0, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(direct.waits).To(HaveLen(3))
		g.Expect(alternative.waits).To(BeEmpty())
	})
}

// TestFeedTakesOtherRouteWhenFirstRecovers guards against a further attempt that takes the silent
// route again because the direct route became healthy while the first attempt was waiting.
func TestFeedTakesOtherRouteWhenFirstRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const failuresUntilUnhealthy = 4
		memory := memorystore.New()
		direct, alternative := &feedRoute{Store: memory, isSilent: neverSilent}, &feedRoute{Store: memory, isSilent: alwaysSilent}
		client := newFeedClient(direct, alternative)
		memory.SetFaultFunc(always(memorystore.FaultRefused))
		for range failuresUntilUnhealthy {
			_, err := client.Feed(t.Context(), "t", 0, time.Second)
			g.Expect(err).To(MatchError(state.ErrNotExecuted))
		}
		memory.SetFaultFunc(nil)
		direct.waits = nil
		_, err := client.Feed(t.Context(), "t", 0, 2*time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(alternative.waits).To(HaveLen(1))
		g.Expect(direct.waits).To(Equal([]time.Duration{0}))
		synctest.Wait()
	})
}
