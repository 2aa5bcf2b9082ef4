package experiment

import (
	"math"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

// Parameters of the emulated batch.
const (
	batchSlowdown       = 1.0  // in a full batch, a token takes 1+batchSlowdown times as long as for a lone sequence
	decodeDuringPrefill = 0.5  // factor of the decode speed while a prompt is prefilled
	prefillDuringDecode = 0.85 // factor of the prefill speed while other sequences decode
	tokenTolerance      = 1e-6 // a remainder of up to this number of tokens counts as 0
)

// sequence is a call that waits or runs in an engine.
type sequence struct {
	call          *call
	priority      int
	arrivalNumber uint64
	deepest       *node   // the deepest cached node of the path; it is pinned by the sequence
	reserved      int64   // tokens of memory
	prefillLeft   float64 // tokens
	decodeLeft    float64 // tokens
	decoding      bool    // false until the prompt is prefilled
}

// emulatedEngine emulates continuous batching: it admits waiting sequences as slots
// and memory allow, prefills one prompt at a time, and meanwhile decodes the
// sequences that are prefilled.
type emulatedEngine struct {
	workload.Engine
	index           int
	clock           *clock
	run             *run
	cache           *prefixCache
	running         []*sequence
	waiting         []*sequence
	advancedTo      time.Duration // time up to which the progress of the sequences is computed
	eventVersion    uint64        // of the scheduled step; events of earlier versions do nothing
	arrivals        uint64
	servedFromCache float64 // prompt tokens that were found in the cache so far
}

func newEmulatedEngine(r *run, index int, description workload.Engine) *emulatedEngine {
	return &emulatedEngine{
		Engine: description, index: index, clock: &r.clock, run: r,
		cache: newPrefixCache(description.CacheTokens),
	}
}

// accept queues a call by priority, smaller numbers first, and by arrival.
func (e *emulatedEngine) accept(c *call, priority int) {
	e.advance()
	e.arrivals++
	c.engine = e
	seq := &sequence{call: c, priority: priority, arrivalNumber: e.arrivals}
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].priority > priority {
		position--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = seq
	e.admit()
	e.schedule()
}

// admit starts waiting sequences in order while there are slots and memory.
func (e *emulatedEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		if !e.start(e.waiting[0]) {
			return
		}
		e.waiting = e.waiting[1:]
	}
}

// start reserves memory for the sequence and starts the prefill of what is not
// cached. It returns false if there is too little memory and other sequences run.
func (e *emulatedEngine) start(seq *sequence) bool {
	path := seq.call.path
	deepest, cached := e.cache.matchPrefix(path)
	if deepest != nil {
		deepest.pins++
		e.cache.touch(deepest)
	}
	uncached := seq.call.promptTokens - cached
	needed := uncached + seq.call.outputTokens
	if !e.cache.reserve(needed, e.clock.now) {
		if len(e.running) > 0 {
			unpin(deepest)
			return false
		}
		e.cache.reservedTokens += needed // a sequence that needs more than the whole memory runs alone
	}
	seq.deepest = deepest
	seq.reserved = needed
	seq.prefillLeft = float64(uncached)
	seq.decodeLeft = float64(seq.call.outputTokens)
	e.servedFromCache += float64(cached)
	e.running = append(e.running, seq)
	e.run.recordPrefillStart(seq.call, cached)
	return true
}

func unpin(n *node) {
	if n != nil {
		n.pins--
	}
}

// rates returns the sequence that is being prefilled, or nil, and the current speeds
// in tokens per second: of its prefill and of each decoding sequence.
func (e *emulatedEngine) rates() (prefilling *sequence, prefill, decode float64) {
	decodingCount := 0
	for _, seq := range e.running {
		if seq.decoding {
			decodingCount++
		} else if prefilling == nil {
			prefilling = seq
		}
	}
	prefill = e.PrefillPerSec
	occupancy := float64(max(decodingCount-1, 0)) / float64(max(e.MaxRunning-1, 1))
	decode = e.DecodePerSec / (1 + batchSlowdown*occupancy)
	if prefilling != nil && decodingCount > 0 {
		prefill *= prefillDuringDecode
		decode *= decodeDuringPrefill
	}
	return prefilling, prefill, decode
}

// advance updates the progress of the running sequences to the current time.
func (e *emulatedEngine) advance() {
	elapsed := (e.clock.now - e.advancedTo).Seconds()
	e.advancedTo = e.clock.now
	if elapsed <= 0 || len(e.running) == 0 {
		return
	}
	prefilling, prefill, decode := e.rates()
	if prefilling != nil {
		prefilling.prefillLeft -= elapsed * prefill
	}
	for _, seq := range e.running {
		if seq.decoding {
			seq.decodeLeft -= elapsed * decode
		}
	}
}

// schedule schedules step for the next time at which a sequence ends its prefill or
// its decoding. It replaces what was scheduled before.
func (e *emulatedEngine) schedule() {
	e.eventVersion++
	prefilling, prefill, decode := e.rates()
	soonest := math.Inf(1)
	if prefilling != nil {
		soonest = prefilling.prefillLeft / prefill
	}
	for _, seq := range e.running {
		if seq.decoding {
			soonest = min(soonest, seq.decodeLeft/decode)
		}
	}
	if math.IsInf(soonest, 1) {
		return
	}
	version := e.eventVersion
	delay := time.Duration(math.Ceil(max(soonest, 0) * float64(time.Second)))
	e.clock.schedule(delay, func() {
		if version == e.eventVersion {
			e.step()
		}
	})
}

// step handles the sequences that have ended their prefill or decoding, and admits
// others.
func (e *emulatedEngine) step() {
	e.advance()
	var finished []*sequence
	remaining := e.running[:0]
	for _, seq := range e.running {
		if !seq.decoding && seq.prefillLeft <= tokenTolerance {
			e.beginDecoding(seq)
		}
		if seq.decoding && seq.decodeLeft <= tokenTolerance {
			finished = append(finished, seq)
			continue
		}
		remaining = append(remaining, seq)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	for _, seq := range finished {
		e.finish(seq)
	}
	e.admit()
	e.schedule()
}

// beginDecoding inserts the history before this turn into the cache, ends the
// reservation of the inserted tokens, and records the first token.
func (e *emulatedEngine) beginDecoding(seq *sequence) {
	seq.decoding = true
	before := e.cache.cachedTokens
	deepest := e.cache.insert(seq.call.path)
	if deepest != nil {
		deepest.pins++
	}
	unpin(seq.deepest)
	seq.deepest = deepest
	inserted := e.cache.cachedTokens - before
	e.cache.unreserve(inserted)
	seq.reserved -= inserted
	e.run.recordFirstToken(seq.call)
}

// finish ends the reservation of the sequence, inserts the history with this turn
// into the cache, and delivers the answer.
func (e *emulatedEngine) finish(seq *sequence) {
	e.cache.unreserve(seq.reserved)
	unpin(seq.deepest)
	e.cache.insert(seq.call.pathAfter)
	e.run.deliverAnswer(seq.call)
}

// waitingTokens returns the number of prompt tokens that are still to be prefilled,
// as reported to the daemons.
func (e *emulatedEngine) waitingTokens() int64 {
	total := 0.0
	for _, seq := range e.running {
		if !seq.decoding {
			total += seq.prefillLeft
		}
	}
	for _, seq := range e.waiting {
		_, cached := e.cache.matchPrefix(seq.call.path)
		total += float64(seq.call.promptTokens - cached)
	}
	return int64(total)
}
