package scheduling

import (
	"container/list"
	"time"
)

// PromptPrefix identifies a prefix of a prompt that several programs may share.
// Hash and Tokens cover everything from the start of the prompt.
type PromptPrefix struct {
	Hash   uint64
	Tokens int64
}

// PrefixIndex records which engines recently received which shared prefixes.
// Each daemon records its own placements, so no global index of caches is
// needed. The number of prefixes and of engines per prefix is bounded. A wrong
// record costs a prefill but does not affect correctness. A PrefixIndex is not
// safe for concurrent use.
type PrefixIndex struct {
	maxPrefixes int
	maxHolders  int
	expiry      time.Duration
	elements    map[uint64]*list.Element
	lru         *list.List // of *prefixEntry, most recently used first
}

type prefixEntry struct {
	prefix  PromptPrefix
	engines []recentEngine
}

type recentEngine struct {
	engine   string
	lastUsed time.Duration
}

// NewPrefixIndex returns a PrefixIndex of at most maxPrefixes prefixes with at
// most maxHolders engines each; a limit below one counts as one. An engine
// counts as a holder of a prefix until the expiry time has passed since it last
// received the prefix.
func NewPrefixIndex(maxPrefixes, maxHolders int, expiry time.Duration) *PrefixIndex {
	return &PrefixIndex{
		maxPrefixes: max(maxPrefixes, 1), maxHolders: max(maxHolders, 1), expiry: expiry,
		elements: make(map[uint64]*list.Element), lru: list.New(),
	}
}

// Record notes that the engine received a prompt that begins with each of the
// given prefixes. now is relative to an epoch shared by all calls.
func (p *PrefixIndex) Record(prefixes []PromptPrefix, engine string, now time.Duration) {
	for _, prefix := range prefixes {
		p.findOrAdd(prefix).recordUse(engine, now, p.maxHolders)
	}
}

// RemoveEngine removes the engine from all prefixes. It is for an engine whose
// cache is lost.
func (p *PrefixIndex) RemoveEngine(engine string) {
	for element := p.lru.Front(); element != nil; element = element.Next() {
		element.Value.(*prefixEntry).removeEngine(engine)
	}
}

// AppendHolders appends to holders the engines of the snapshot that hold any of
// the prefixes, each with the longest prefix that it holds, and returns
// the extended slice. Engines that the slice already contains are not appended
// again. The prefixes must be ordered by increasing length.
func (p *PrefixIndex) AppendHolders(holders []PrefixHolder, prefixes []PromptPrefix, snapshot *Snapshot, now time.Duration) []PrefixHolder {
	for index := len(prefixes) - 1; index >= 0; index-- {
		element, ok := p.elements[prefixes[index].Hash]
		if !ok {
			continue
		}
		for _, holder := range element.Value.(*prefixEntry).engines {
			if now-holder.lastUsed > p.expiry {
				continue
			}
			engine, exists := snapshot.Find(holder.engine)
			if exists && !containsEngine(holders, engine) {
				holders = append(holders, PrefixHolder{EngineIndex: engine, Tokens: prefixes[index].Tokens})
			}
		}
	}
	return holders
}

func containsEngine(holders []PrefixHolder, engine int) bool {
	for _, holder := range holders {
		if holder.EngineIndex == engine {
			return true
		}
	}
	return false
}

// findOrAdd returns the entry of a prefix and marks the entry as most recently
// used. If the prefix has no entry, one is added; if the index is full, this
// drops the least recently used entry.
func (p *PrefixIndex) findOrAdd(prefix PromptPrefix) *prefixEntry {
	if element, ok := p.elements[prefix.Hash]; ok {
		p.lru.MoveToFront(element)
		return element.Value.(*prefixEntry)
	}
	if p.lru.Len() >= p.maxPrefixes {
		oldest := p.lru.Back()
		delete(p.elements, oldest.Value.(*prefixEntry).prefix.Hash)
		p.lru.Remove(oldest)
	}
	added := &prefixEntry{prefix: prefix}
	p.elements[prefix.Hash] = p.lru.PushFront(added)
	return added
}

// recordUse adds the engine or updates its last use. If the entry already has
// maxHolders other engines, the new one replaces the least recently used.
func (e *prefixEntry) recordUse(engine string, now time.Duration, maxHolders int) {
	oldest := 0
	for index := range e.engines {
		if e.engines[index].engine == engine {
			e.engines[index].lastUsed = now
			return
		}
		if e.engines[index].lastUsed < e.engines[oldest].lastUsed {
			oldest = index
		}
	}
	if len(e.engines) < maxHolders {
		e.engines = append(e.engines, recentEngine{engine: engine, lastUsed: now})
		return
	}
	e.engines[oldest] = recentEngine{engine: engine, lastUsed: now}
}

func (e *prefixEntry) removeEngine(engine string) {
	kept := e.engines[:0]
	for _, holder := range e.engines {
		if holder.engine != engine {
			kept = append(kept, holder)
		}
	}
	e.engines = kept
}
