package state

import "sync"

// retryBudget bounds the further tries of calls to a share of the first ones,
// so that a store that does not answer is not sent several times as many.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	begun  bool
}

const (
	retryTokensPerCall = 0.3 // further tries for each call
	mostRetryTokens    = 12  // that may be saved up
)

// call notes a first try.
func (b *retryBudget) call() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.begin()
	b.tokens = min(b.tokens+retryTokensPerCall, mostRetryTokens)
}

// take tells whether a further try may be made, and counts it.
func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.begin()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) begin() {
	if !b.begun {
		b.begun = true
		b.tokens = mostRetryTokens
	}
}
