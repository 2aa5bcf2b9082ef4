package execution

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// retryBudget limits the retries of all calls on this daemon, so that retries do
// not multiply the load during an outage. It is safe for concurrent use.
type retryBudget struct {
	started time.Time

	mutex  sync.Mutex
	budget scheduling.RetryBudget
}

func newRetryBudget(limits *Limits) *retryBudget {
	return &retryBudget{
		started: time.Now(),
		budget:  scheduling.NewRetryBudget(max(limits.RetryRatio, 0), max(limits.RetriesPerSecond, 0), float64(limits.RetryBurst), 0),
	}
}

// recordFirstAttempt adds Limits.RetryRatio retries to the budget, up to its size.
func (r *retryBudget) recordFirstAttempt() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget = r.budget.RecordFirstAttempt(time.Since(r.started))
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (r *retryBudget) takeRetry() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var allowed bool
	r.budget, allowed, _ = r.budget.TakeRetry(time.Since(r.started))
	return allowed
}
