package execution

import (
	"context"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// maxRetryInterval is the longest time between two decisions on waiting calls.
const maxRetryInterval = 250 * time.Millisecond

// waitQueues holds the model calls that wait for an engine. One goroutine tries to
// place the first call of each queue whenever an engine may have capacity: when an
// attempt has ended, when the fleet's snapshot has changed, and after the retry
// time that the scheduling policy returned. It is safe for concurrent use.
type waitQueues struct {
	service *Service
	wake    chan struct{}

	mutex    sync.Mutex
	models   map[string]*modelQueues
	sequence uint64
}

func newWaitQueues(service *Service) *waitQueues {
	return &waitQueues{service: service, wake: make(chan struct{}, 1), models: make(map[string]*modelQueues)}
}

// outcome is the result of a wait: a placement or the reason for a refusal. Both
// fields are nil if the wait was cancelled.
type outcome struct {
	chosen  *placement
	refused *problem.Problem
}

// await blocks until the call is placed or refused. If the context ends first, it
// returns the zero outcome.
func (w *waitQueues) await(ctx context.Context, queued *waiter) outcome {
	model := w.enqueue(queued)
	select {
	case result := <-queued.outcome:
		return result
	case <-ctx.Done():
	}
	model.dequeue(queued)
	select {
	case result := <-queued.outcome: // the call was decided before it left the queue
		if result.chosen != nil {
			result.chosen.done(false, 0)
		}
	default:
	}
	return outcome{}
}

func (w *waitQueues) enqueue(queued *waiter) *modelQueues {
	model := w.assignModel(queued)
	if model.enqueue(queued, w.service.limits.MaxQueued) {
		w.requestDecision()
	}
	return model
}

// assignModel gives the call its sequence number in the order of arrival and
// returns the queues of its model, which it creates if needed.
func (w *waitQueues) assignModel(queued *waiter) *modelQueues {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	queued.item.Sequence = w.sequence
	name := queued.request.Model
	if w.models[name] == nil {
		w.models[name] = &modelQueues{fleet: w.service.options.Fleet, queues: make(map[queueKey]*scheduling.Queue[*waiter])}
	}
	return w.models[name]
}

// requestDecision makes the goroutine decide on the first calls again. It does
// not block.
func (w *waitQueues) requestDecision() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// decideUntilDone decides on waiting calls until the context ends.
func (w *waitQueues) decideUntilDone(ctx context.Context) {
	var changed <-chan struct{}
	if notifier, ok := w.service.options.Fleet.(engine.SnapshotNotifier); ok {
		changed = notifier.Changed()
	}
	timer := time.NewTimer(maxRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-changed:
		case <-timer.C:
		}
		timer.Reset(w.decideAll())
	}
}

// decideAll decides on the waiting calls of all models. It returns the time after
// which to decide again, at most maxRetryInterval.
func (w *waitQueues) decideAll() time.Duration {
	retry := maxRetryInterval
	for _, model := range w.allModels() {
		retry = min(retry, model.decide())
	}
	return retry
}

func (w *waitQueues) allModels() []*modelQueues {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	models := make([]*modelQueues, 0, len(w.models))
	for _, model := range w.models {
		models = append(models, model)
	}
	return models
}

// count returns the number of waiting calls of all models.
func (w *waitQueues) count() int {
	count := 0
	for _, model := range w.allModels() {
		count += model.count()
	}
	return count
}

// queueKey selects one of the queues of a model. Calls with different keys may be
// placeable on different engines, so they must not block each other.
type queueKey struct {
	adapter       string
	firstCall     bool // the program has not been served yet, so the call may have to wait for engine memory
	hasExclusions bool // an engine has failed the call and is excluded
}

// modelQueues holds the queues of one model.
type modelQueues struct {
	fleet engine.Fleet

	mutex  sync.Mutex
	queues map[queueKey]*scheduling.Queue[*waiter]
}

// enqueue refuses the call, places it at once, or queues it. The number of calls
// in each queue is at most limit; a call that is displaced from a full queue is
// refused. It returns true if the call was first in its queue and the queue is
// still not empty, so that a decision has to be scheduled.
func (m *modelQueues) enqueue(queued *waiter, limit int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if ahead := m.countAhead(queued.item); ahead > 0 {
		if refused := queued.refuseIfTooLate(ahead); refused != nil {
			queued.outcome <- outcome{refused: refused}
			return false
		}
	}
	queue := m.queues[queued.key]
	if queue == nil {
		queue = scheduling.NewQueue[*waiter](limit)
		m.queues[queued.key] = queue
	}
	if displaced, full := queue.Push(queued.item, queued); full {
		displaced.outcome <- outcome{refused: displaced.refuseDisplaced()}
	}
	if _, first, _ := queue.Peek(); first != queued {
		return false
	}
	m.decideLocked()
	return m.queues[queued.key] != nil
}

func (m *modelQueues) countAhead(item scheduling.QueueItem) int {
	count := 0
	for _, queue := range m.queues {
		count += queue.CountAhead(item)
	}
	return count
}

func (m *modelQueues) dequeue(queued *waiter) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	queue := m.queues[queued.key]
	if queue == nil {
		return
	}
	queue.RemoveFunc(func(candidate *waiter) bool { return candidate == queued })
	m.dropIfEmpty(queued.key)
}

func (m *modelQueues) decide() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.decideLocked()
}

// decideLocked decides on calls in their order until the first call of each queue
// has to wait. It returns the time after which to decide again, at most
// maxRetryInterval. The caller must hold the mutex.
//
// All decisions between two placements use the same snapshot. Otherwise an engine
// that becomes free after the first call of one queue was told to wait could go to
// a call of another queue that comes after it.
func (m *modelQueues) decideLocked() time.Duration {
	retry := maxRetryInterval
	snapshot := m.fleet.Snapshot()
	blocked := make(map[queueKey]bool, len(m.queues))
	for {
		next := m.firstUnblocked(blocked)
		if next == nil {
			return retry
		}
		result, wait := next.decide(snapshot)
		if wait > 0 {
			blocked[next.key] = true
			retry = min(retry, wait)
			continue
		}
		m.queues[next.key].Pop()
		m.dropIfEmpty(next.key)
		next.outcome <- result
		if updated := m.fleet.Snapshot(); updated != snapshot {
			snapshot = updated
			clear(blocked)
		}
	}
}

// firstUnblocked returns the first call in order among the queues that are not
// blocked, or nil if there is none.
func (m *modelQueues) firstUnblocked(blocked map[queueKey]bool) *waiter {
	var best *waiter
	for key, queue := range m.queues {
		if blocked[key] {
			continue
		}
		if _, candidate, found := queue.Peek(); found && (best == nil || scheduling.Before(candidate.item, best.item)) {
			best = candidate
		}
	}
	return best
}

func (m *modelQueues) dropIfEmpty(key queueKey) {
	if m.queues[key].Len() == 0 {
		delete(m.queues, key)
	}
}

func (m *modelQueues) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	count := 0
	for _, queue := range m.queues {
		count += queue.Len()
	}
	return count
}
