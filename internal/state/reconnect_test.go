package state

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// silentStore never answers, and counts how often it is told to reconnect.
type silentStore struct {
	answerTimeout time.Duration
	reconnections int
}

func (s *silentStore) Reconnect() { s.reconnections++ }

// await waits for an answer, in addition to the wait of a feed.
func (s *silentStore) await(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+s.answerTimeout)
	defer cancel()
	<-ctx.Done()
	return ErrUnknownOutcome
}

func (s *silentStore) Commit(ctx context.Context, _ Commit) (Version, error) {
	return 0, s.await(ctx, 0)
}

func (s *silentStore) Read(ctx context.Context, _ Range) (Page, error) {
	return Page{}, s.await(ctx, 0)
}

func (s *silentStore) Feed(ctx context.Context, _ string, _ Version, wait time.Duration) (FeedResult, error) {
	return FeedResult{}, s.await(ctx, wait)
}

// TestReconnectAfterSilence guards against silent connections that each cost a call its time, and against
// reconnecting for calls that had little time, were given up, or only waited for a change.
func TestReconnectAfterSilence(t *testing.T) {
	read := func(ctx context.Context, store Store) { _, _ = store.Read(ctx, Range{}) }
	commit := func(ctx context.Context, store Store) { _, _ = store.Commit(ctx, Commit{}) }
	feed := func(ctx context.Context, store Store) { _, _ = store.Feed(ctx, "t", 0, time.Minute) }
	for name, play := range map[string]struct {
		call          func(ctx context.Context, store Store)
		answerTimeout time.Duration
		giveUpAfter   time.Duration // 0: never
		expected      int
	}{
		"read":                    {read, time.Second, 0, 1},
		"commit":                  {commit, time.Second, 0, 1},
		"feed":                    {feed, time.Second, 0, 1},
		"read with little time":   {read, minSilence - time.Millisecond, 0, 0},
		"feed that is given up":   {feed, time.Second, 30 * time.Second, 0},
		"commit that is given up": {commit, time.Second, minSilence, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if play.giveUpAfter > 0 {
					time.AfterFunc(play.giveUpAfter, cancel)
				}
				store := &silentStore{answerTimeout: play.answerTimeout}
				play.call(ctx, newReconnectingStore(store))
				NewWithT(t).Expect(store.reconnections).To(Equal(play.expected))
			})
		})
	}
}

// TestReconnectIsBounded guards against a slow store that makes a process open connections all the time.
func TestReconnectIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 10 * time.Second
		store := &silentStore{}
		guarded := newReconnectingStore(store)
		for start := time.Now(); time.Since(start) < duration; time.Sleep(10 * time.Millisecond) {
			guarded.reconnect()
		}
		NewWithT(t).Expect(store.reconnections).To(BeNumerically("<=", duration/minReconnectInterval+1))
	})
}
