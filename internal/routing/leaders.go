package routing

import (
	"sync"
	"sync/atomic"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// leaderCache holds the peer address of each shard's leader. It is safe for
// concurrent use; reads are atomic loads. The slots are allocated once, when the
// number of shards is known.
type leaderCache struct {
	once  sync.Once
	slots atomic.Pointer[[]atomic.Pointer[string]]
}

func (c *leaderCache) allocate(shards uint32) {
	c.once.Do(func() {
		slots := make([]atomic.Pointer[string], shards+1)
		c.slots.Store(&slots)
	})
}

func (c *leaderCache) slot(shard identity.Shard) *atomic.Pointer[string] {
	slots := c.slots.Load()
	if slots == nil || int(shard) >= len(*slots) {
		return nil
	}
	return &(*slots)[shard]
}

func (c *leaderCache) get(shard identity.Shard) string {
	slot := c.slot(shard)
	if slot == nil {
		return ""
	}
	address := slot.Load()
	if address == nil {
		return ""
	}
	return *address
}

func (c *leaderCache) set(shard identity.Shard, address string) {
	slot := c.slot(shard)
	if slot == nil {
		return
	}
	if known := slot.Load(); known != nil && *known == address {
		return
	}
	slot.Store(&address)
}

// forget removes the address unless another one has replaced it meanwhile.
func (c *leaderCache) forget(shard identity.Shard, address string) {
	slot := c.slot(shard)
	if slot == nil {
		return
	}
	if known := slot.Load(); known != nil && *known == address {
		slot.CompareAndSwap(known, nil)
	}
}
