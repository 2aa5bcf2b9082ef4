package engine

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// PromptPrefix is the beginning of a prompt that other programs may share.
type PromptPrefix struct {
	Hash   uint64 // hash of the model, the adapter and the text
	Tokens int64  // estimated length in tokens
}

// PrefixRecorder records which prefixes the engines hold. *Service implements it.
type PrefixRecorder interface {
	// RecordPrefixes records that the engine just served a prompt with these prefixes and so
	// holds them in its cache. The snapshot includes them within about a second.
	RecordPrefixes(engineID string, prefixes []PromptPrefix)
}

const (
	maxPrefixes         = 512 // maximum number of prefixes known to a daemon; the least recently used one is dropped
	maxHoldersPerPrefix = 4   // maximum number of engines recorded for one prefix
	minPrefixTokens     = 256 // shorter prefixes are not recorded
)

// prefixIndex records which engines hold frequently shared prefixes, from the requests that
// this daemon placed. It forgets prefixes that were not used for the retention time. It is only
// a hint, since an engine may have evicted a prefix. It is safe for concurrent use.
type prefixIndex struct {
	mutex     sync.Mutex
	holders   *lru.Cache[uint64, []holder]
	retention time.Duration
}

// holder is an engine that holds a prefix.
type holder struct {
	engine string
	tokens int64
	used   time.Time
}

func newPrefixIndex(retention time.Duration) *prefixIndex {
	holders, _ := lru.New[uint64, []holder](maxPrefixes) // the only error is for a size below one
	return &prefixIndex{holders: holders, retention: retention}
}

// record makes the engine the most recent holder of each prefix that has at least
// minPrefixTokens tokens.
func (p *prefixIndex) record(engine string, prefixes []PromptPrefix, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, prefix := range prefixes {
		if prefix.Tokens < minPrefixTokens {
			continue
		}
		previous, _ := p.holders.Get(prefix.Hash)
		updated := make([]holder, 1, maxHoldersPerPrefix)
		updated[0] = holder{engine: engine, tokens: prefix.Tokens, used: now}
		for _, other := range previous {
			if other.engine != engine && len(updated) < maxHoldersPerPrefix {
				updated = append(updated, other)
			}
		}
		p.holders.Add(prefix.Hash, updated)
	}
}

// holdersByHash returns the holders of each prefix, with engines given by their index in the
// table. It removes prefixes without a recent holder.
func (p *prefixIndex) holdersByHash(table *engineTable, now time.Time) map[uint64][]scheduling.PrefixHolder {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	holders := make(map[uint64][]scheduling.PrefixHolder, p.holders.Len())
	for _, hash := range p.holders.Keys() {
		recorded, _ := p.holders.Peek(hash)
		present := make([]scheduling.PrefixHolder, 0, len(recorded))
		for _, known := range recorded {
			index, found := table.index[known.engine]
			if found && now.Sub(known.used) <= p.retention {
				present = append(present, scheduling.PrefixHolder{EngineIndex: index, Tokens: known.tokens})
			}
		}
		if len(present) == 0 {
			p.holders.Remove(hash)
			continue
		}
		holders[hash] = present
	}
	return holders
}

// RecordPrefixes implements PrefixRecorder.
func (s *Service) RecordPrefixes(engineID string, prefixes []PromptPrefix) {
	s.prefixes.record(engineID, prefixes, time.Now())
}

// cachedHolders is the result of holdersByHash for one engine table.
type cachedHolders struct {
	table      *engineTable
	computedAt time.Time
	holders    map[uint64][]scheduling.PrefixHolder
}

// prefixRefreshInterval is the time after which the holders in the snapshot are computed again.
const prefixRefreshInterval = time.Second

// sharedPrefixHolders returns the prefix holders for the snapshot, computed at most once per
// prefixRefreshInterval unless the engine table changes. The caller must hold s.rebuilding.
func (s *Service) sharedPrefixHolders(table *engineTable, now time.Time) map[uint64][]scheduling.PrefixHolder {
	if s.cachedHolders.table != table || now.Sub(s.cachedHolders.computedAt) >= prefixRefreshInterval {
		s.cachedHolders = cachedHolders{table: table, computedAt: now, holders: s.prefixes.holdersByHash(table, now)}
	}
	return s.cachedHolders.holders
}
