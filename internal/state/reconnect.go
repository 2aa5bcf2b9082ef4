package state

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"
)

// Reconnector is implemented by a Store that keeps connections open between calls. Open connections may
// stop delivering anything without an error, many of them at the same moment.
type Reconnector interface {
	// Reconnect closes the connections that no call is using, so that later calls use connections on which
	// an answer arrives after this, or new ones.
	Reconnect()
}

const (
	// minReconnectInterval bounds how often all idle connections are closed, and so how many a slow store
	// makes this process open.
	minReconnectInterval = 250 * time.Millisecond
	// minSilence is the shortest time without an answer after which a call that ends without one makes the
	// store reconnect. Callers with little time left don't.
	minSilence = 250 * time.Millisecond
)

// reconnectingStore makes a Store reconnect when a call has got no answer for long: the connections that were
// opened with a silent one may be silent too. It is safe for concurrent use.
type reconnectingStore struct {
	Store
	limiter *rate.Limiter
}

func newReconnectingStore(store Store) *reconnectingStore {
	return &reconnectingStore{Store: store, limiter: rate.NewLimiter(rate.Every(minReconnectInterval), 1)}
}

// Commit implements Store.
func (s *reconnectingStore) Commit(ctx context.Context, commit Commit) (Version, error) {
	due := time.Now()
	version, err := s.Store.Commit(ctx, commit)
	s.reconnectAfterSilence(ctx, due, err)
	return version, err
}

// Read implements Store.
func (s *reconnectingStore) Read(ctx context.Context, selected Range) (Page, error) {
	due := time.Now()
	page, err := s.Store.Read(ctx, selected)
	s.reconnectAfterSilence(ctx, due, err)
	return page, err
}

// Feed implements Store.
func (s *reconnectingStore) Feed(ctx context.Context, table string, after Version, wait time.Duration) (FeedResult, error) {
	due := time.Now().Add(wait)
	result, err := s.Store.Feed(ctx, table, after, wait)
	s.reconnectAfterSilence(ctx, due, err)
	return result, err
}

// reconnectAfterSilence reconnects after a call that ended without an answer, unless that was due less than
// minSilence ago or the call was given up.
func (s *reconnectingStore) reconnectAfterSilence(ctx context.Context, due time.Time, err error) {
	isGivenUp := ctx.Err() == context.Canceled
	if errors.Is(err, ErrUnknownOutcome) && !isGivenUp && time.Since(due) >= minSilence {
		s.reconnect()
	}
}

// reconnect makes the store reconnect, unless it did so less than minReconnectInterval ago or keeps no
// connections.
func (s *reconnectingStore) reconnect() {
	if store, keepsConnections := s.Store.(Reconnector); keepsConnections && s.limiter.Allow() {
		store.Reconnect()
	}
}
