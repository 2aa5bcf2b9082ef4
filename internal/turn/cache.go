package turn

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache holds recently used turns. An entry also holds the ancestors of its turn in memory, even
// if they have no entry of their own. The bytes of each turn are counted once, even if several
// turns continue it. It is safe for concurrent use.
type cache struct {
	maxIdle  time.Duration // an entry is dropped after it has not been used for this long
	maxBytes int           // maximum of bytes
	now      func() time.Time

	mutex      sync.Mutex
	recent     *simplelru.LRU[string, *cacheEntry]
	references map[*Turn]int // number of entries and later turns that refer to each turn in memory
	bytes      int           // size of all turns in references
}

// cacheEntry is a turn with the time of its last use.
type cacheEntry struct {
	turn     *Turn
	lastUsed time.Time
}

func newCache(options Options) *cache {
	created := &cache{maxIdle: options.CacheIdleTimeout, maxBytes: options.MaxCacheBytes, now: options.Now, references: map[*Turn]int{}}
	recent, err := simplelru.NewLRU(max(options.MaxCacheEntries, 1), func(_ string, evicted *cacheEntry) { created.release(evicted.turn) })
	if err != nil {
		panic(err) // happens only for a size below one
	}
	created.recent = recent
	return created
}

// get returns a turn and marks it as used, or returns nil if it has no entry.
func (c *cache) get(identifier string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropIdle()
	found, known := c.recent.Get(identifier)
	if !known {
		return nil
	}
	found.lastUsed = c.now()
	return found.turn
}

// peek returns a turn without marking it as used. It returns nil if the turn has no entry, or only
// one that has not been used for longer than maxIdle.
func (c *cache) peek(identifier string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found, known := c.recent.Peek(identifier)
	if !known || c.now().Sub(found.lastUsed) > c.maxIdle {
		return nil
	}
	return found.turn
}

// add adds an entry for the turn, and drops the least recently used entries until no limit is
// exceeded.
func (c *cache) add(turn *Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recent.Remove(turn.identifier)
	c.retain(turn)
	c.recent.Add(turn.identifier, &cacheEntry{turn: turn, lastUsed: c.now()})
	c.dropIdle()
	for c.bytes > c.maxBytes && c.recent.Len() > 0 {
		c.recent.RemoveOldest()
	}
}

// size returns the size in bytes of all turns in memory.
func (c *cache) size() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes
}

// dropIdle drops the entries that have not been used for longer than maxIdle. The caller
// holds mutex.
func (c *cache) dropIdle() {
	for {
		_, oldest, hasEntries := c.recent.GetOldest()
		if !hasEntries || c.now().Sub(oldest.lastUsed) <= c.maxIdle {
			return
		}
		c.recent.RemoveOldest()
	}
}

// retain adds a reference to the turn. The first reference to a turn adds its size to bytes and
// retains the previous turn. The caller holds mutex.
func (c *cache) retain(turn *Turn) {
	for each := turn; each != nil; each = each.previous {
		c.references[each]++
		if c.references[each] > 1 {
			return
		}
		c.bytes += each.addedBytes()
	}
}

// release removes a reference that retain added. The caller holds mutex.
func (c *cache) release(turn *Turn) {
	for each := turn; each != nil; each = each.previous {
		c.references[each]--
		if c.references[each] > 0 {
			return
		}
		delete(c.references, each)
		c.bytes -= each.addedBytes()
	}
}
