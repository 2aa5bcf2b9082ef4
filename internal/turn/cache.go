package turn

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache holds recent turns. A turn in it keeps its ancestors in memory, whether they
// are in it themselves or not; each is counted once, however many turns go on from it.
// It is safe for concurrent use.
type cache struct {
	keep      time.Duration
	mostBytes int
	now       func() time.Time

	mutex  sync.Mutex
	recent *simplelru.LRU[string, *cached]
	held   map[*Turn]int // how many cached turns and held followers a turn has
	bytes  int           // of all held turns
}

type cached struct {
	turn *Turn
	used time.Time
}

func newCache(options Options) *cache {
	made := &cache{keep: options.CacheFor, mostBytes: options.CacheBytes, now: options.Now, held: map[*Turn]int{}}
	recent, err := simplelru.NewLRU(max(options.CacheEntries, 1), func(_ string, gone *cached) { made.release(gone.turn) })
	if err != nil {
		panic(err) // only for a size below one
	}
	made.recent = recent
	return made
}

// get returns a turn, which is used then; nil: it is not in memory.
func (c *cache) get(identifier string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropOld()
	found, known := c.recent.Get(identifier)
	if !known {
		return nil
	}
	found.used = c.now()
	return found.turn
}

// peek returns a turn without using it.
func (c *cache) peek(identifier string) *Turn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found, known := c.recent.Peek(identifier)
	if !known || c.now().Sub(found.used) > c.keep {
		return nil
	}
	return found.turn
}

// add holds a turn, and gives up those that were not used for the longest time.
func (c *cache) add(turn *Turn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recent.Remove(turn.identifier)
	c.retain(turn)
	c.recent.Add(turn.identifier, &cached{turn: turn, used: c.now()})
	c.dropOld()
	for c.bytes > c.mostBytes && c.recent.Len() > 0 {
		c.recent.RemoveOldest()
	}
}

// size is how many bytes are held.
func (c *cache) size() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes
}

func (c *cache) dropOld() {
	for {
		_, oldest, some := c.recent.GetOldest()
		if !some || c.now().Sub(oldest.used) <= c.keep {
			return
		}
		c.recent.RemoveOldest()
	}
}

func (c *cache) retain(turn *Turn) {
	for each := turn; each != nil; each = each.previous {
		c.held[each]++
		if c.held[each] > 1 {
			return
		}
		c.bytes += each.addedBytes()
	}
}

func (c *cache) release(turn *Turn) {
	for each := turn; each != nil; each = each.previous {
		c.held[each]--
		if c.held[each] > 0 {
			return
		}
		delete(c.held, each)
		c.bytes -= each.addedBytes()
	}
}
