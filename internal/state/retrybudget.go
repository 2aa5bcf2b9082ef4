package state

import "sync"

// retryBudget limits the further attempts of calls to a share of the first attempts, so that an
// unresponsive store does not get a multiple of the load of the first attempts. It is safe for
// concurrent use. The zero value starts with maxRetryTokens tokens.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	filled bool
}

const (
	retryTokensPerCall = 0.3 // tokens that each first attempt adds; a further attempt costs one
	maxRetryTokens     = 12  // limit of the number of tokens
)

// recordCall adds the tokens for a first attempt.
func (b *retryBudget) recordCall() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fillOnce()
	b.tokens = min(b.tokens+retryTokensPerCall, maxRetryTokens)
}

// take takes a token for a further attempt. It returns false if there is none.
func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fillOnce()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fillOnce fills the budget on its first use. The caller holds the mutex.
func (b *retryBudget) fillOnce() {
	if !b.filled {
		b.filled = true
		b.tokens = maxRetryTokens
	}
}
