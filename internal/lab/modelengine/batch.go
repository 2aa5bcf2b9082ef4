package modelengine

import (
	"slices"
	"time"
)

// minSleep is the shortest sleep of the batch loop. Scaled times of shorter steps
// are added up until they reach it.
const minSleep = time.Millisecond

// runBatches runs batch steps while there are requests, and sleeps for their
// scaled modelled time. It returns after Close.
func (e *Engine) runBatches() {
	var unslept time.Duration // scaled modelled time for which the loop has not slept yet
	for {
		step, busy := e.step()
		unslept += e.scaleTime(step)
		if !busy {
			unslept = 0
			select {
			case <-e.wake:
				continue
			case <-e.stopped:
				return
			}
		}
		if unslept < minSleep {
			continue
		}
		sleepStart := time.Now()
		select {
		case <-time.After(unslept):
			unslept -= time.Since(sleepStart)
		case <-e.stopped:
			return
		}
	}
}

// step runs one batch step and returns its modelled time, before scaling by
// Options.TimeScale. It returns false if no request is running.
func (e *Engine) step() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.removeEnded(now)
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	prefilled := e.prefillStep(now)
	decoding := e.decodeStep(now)
	seconds := float64(prefilled) / e.speed.PrefillPerSec
	if decoding > 0 {
		seconds += (1 + batchSlowdown*float64(decoding-1)) / e.speed.DecodePerSec
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// removeEnded fails the requests that are past their deadline, and removes all
// requests in a final state from the queue and the batch.
func (e *Engine) removeEnded(now time.Time) {
	ended := func(candidate *request) bool {
		if !candidate.isFinal() && !candidate.deadline.IsZero() && now.After(candidate.deadline) {
			candidate.end(stateFailed, "deadline exceeded")
		}
		return candidate.isFinal()
	}
	e.waiting = slices.DeleteFunc(e.waiting, ended)
	e.running = slices.DeleteFunc(e.running, ended)
}

// admit moves waiting requests into the batch while it has free capacity, in the order
// of request.isBefore.
func (e *Engine) admit() {
	for len(e.running) < e.speed.MaxRunning && len(e.waiting) > 0 {
		first := 0
		for index, candidate := range e.waiting {
			if candidate.isBefore(e.waiting[first]) {
				first = index
			}
		}
		req := e.waiting[first]
		e.waiting = slices.Delete(e.waiting, first, first+1)
		req.state = stateRunning
		req.usage.CachedTokens = e.cache.matchPrefix(req.hashes)
		req.prefillLeft = req.usage.PromptTokens - req.usage.CachedTokens
		e.running = append(e.running, req)
	}
}

// prefillStep prefills up to prefillChunkTokens prompt tokens, in batch order,
// and returns their number. It caches each prompt that it completes.
func (e *Engine) prefillStep(now time.Time) int64 {
	var prefilled int64
	for _, req := range e.running {
		chunk := min(req.prefillLeft, prefillChunkTokens-prefilled)
		if chunk <= 0 {
			continue
		}
		req.prefillLeft -= chunk
		prefilled += chunk
		if req.prefillLeft == 0 {
			e.cache.store(req.wire.Program, req.hashes, now)
		}
	}
	return prefilled
}

// decodeStep generates one token for each request whose prompt is prefilled,
// and returns the number of these requests.
func (e *Engine) decodeStep(now time.Time) int {
	decoding := 0
	for _, req := range e.running {
		if req.prefillLeft > 0 {
			continue
		}
		decoding++
		if req.generate() {
			req.end(stateFinished, "")
			e.cache.store(req.wire.Program, hashBlocks(historyAfter(req)), now)
		}
	}
	return decoding
}

// historyAfter returns the prompt followed by the answer, rendered as the
// beginning of the next turn's prompt.
func historyAfter(req *request) string {
	return req.prompt + "assistant\x01" + req.answer + "\x02"
}
