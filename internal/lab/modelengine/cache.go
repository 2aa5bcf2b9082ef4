package modelengine

import (
	"container/list"
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

const (
	blockTokens  = 16
	blockBytes   = blockTokens * bytesPerToken
	prefixBlocks = 4 // number of blocks at the start of a prompt whose hash identifies it in cache events
)

// hashBlocks returns the hashes of the full blocks of a text. Each hash covers
// the text from the start to the end of its block.
func hashBlocks(text string) []uint64 {
	hashes := make([]uint64, 0, len(text)/blockBytes)
	var previous [8]byte
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(text[start : start+blockBytes])
		hash := digest.Sum64()
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(previous[:], hash)
	}
	return hashes
}

// prefixHash returns the hash of the first prefixBlocks blocks of a prompt, or 0
// if the prompt is shorter.
func prefixHash(hashes []uint64) uint64 {
	if len(hashes) < prefixBlocks {
		return 0
	}
	return hashes[prefixBlocks-1]
}

// block is the KV cache of blockTokens tokens. A block is deleted when the last
// program that uses it is released. A block that several programs have shared
// stays until it is evicted.
type block struct {
	hash     uint64
	programs map[string]struct{} // those that use the block
	shared   bool                // several programs used the block at the same time
	element  *list.Element       // in prefixCache.recent
}

// programEntry lists the cached blocks of one program.
type programEntry struct {
	blocks     map[uint64]int // position in the prompt by block hash
	prefixHash uint64         // of the prompt stored last
	leaseUntil time.Time      // the blocks can't be evicted before this time; zero for no lease
}

// prefixCache is a least-recently-used cache of blocks. Not safe for concurrent use.
type prefixCache struct {
	capacity int // in blocks
	blocks   map[uint64]*block
	recent   *list.List // of *block; front: most recently used
	programs map[string]*programEntry
	emit     func(kind, program string, prefix uint64, tokens int64) // emits a cache event; tokens is the number of tokens that the program has cached after it
}

func newPrefixCache(tokens int64, emit func(kind, program string, prefix uint64, tokens int64)) *prefixCache {
	return &prefixCache{
		capacity: int(tokens / blockTokens),
		blocks:   map[uint64]*block{},
		recent:   list.New(),
		programs: map[string]*programEntry{},
		emit:     emit,
	}
}

// matchPrefix returns the number of leading tokens that are cached, and marks
// their blocks as recently used.
func (c *prefixCache) matchPrefix(hashes []uint64) int64 {
	var found int64
	for _, hash := range hashes {
		cached, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.recent.MoveToFront(cached.element)
		found += blockTokens
	}
	return found
}

// store adds the blocks to the program, and evicts the least recently used
// blocks if the cache is full. It stops at the first block for which there is no
// space because all cached blocks are pinned.
func (c *prefixCache) store(program string, hashes []uint64, now time.Time) {
	entry := c.entryOf(program)
	entry.prefixHash = prefixHash(hashes)
	for position, hash := range hashes {
		if !c.storeBlock(program, hash, now) {
			break
		}
		entry.blocks[hash] = position
	}
	if len(entry.blocks) == 0 {
		delete(c.programs, program)
		return
	}
	c.emit("stored", program, entry.prefixHash, int64(len(entry.blocks))*blockTokens)
}

// entryOf returns the entry of the program and creates it if needed.
func (c *prefixCache) entryOf(program string) *programEntry {
	entry, found := c.programs[program]
	if !found {
		entry = &programEntry{blocks: map[uint64]int{}}
		c.programs[program] = entry
	}
	return entry
}

// storeBlock adds the block to the cache, or the program to the block if it is already
// cached. It returns false if there is no room for the block.
func (c *prefixCache) storeBlock(program string, hash uint64, now time.Time) bool {
	if cached, found := c.blocks[hash]; found {
		cached.programs[program] = struct{}{}
		cached.shared = cached.shared || len(cached.programs) > 1
		c.recent.MoveToFront(cached.element)
		return true
	}
	if len(c.blocks) >= c.capacity && !c.evictOne(now) {
		return false
	}
	added := &block{hash: hash, programs: map[string]struct{}{program: {}}}
	added.element = c.recent.PushFront(added)
	c.blocks[hash] = added
	return true
}

// evictOne deletes the least recently used block that no lease pins. It returns
// false if there is none.
func (c *prefixCache) evictOne(now time.Time) bool {
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		candidate := element.Value.(*block)
		if c.isPinned(candidate, now) {
			continue
		}
		for program := range candidate.programs {
			c.removeFromProgram(program, candidate.hash)
		}
		c.deleteBlock(candidate)
		return true
	}
	return false
}

func (c *prefixCache) isPinned(candidate *block, now time.Time) bool {
	for program := range candidate.programs {
		if c.programs[program].leaseUntil.After(now) {
			return true
		}
	}
	return false
}

// removeFromProgram removes an evicted block from the program's entry and emits an
// event. If it was the last block, the entry is deleted.
func (c *prefixCache) removeFromProgram(program string, hash uint64) {
	entry := c.programs[program]
	delete(entry.blocks, hash)
	c.emit("evicted", program, entry.prefixHash, int64(len(entry.blocks))*blockTokens)
	if len(entry.blocks) == 0 {
		delete(c.programs, program)
	}
}

func (c *prefixCache) deleteBlock(deleted *block) {
	c.recent.Remove(deleted.element)
	delete(c.blocks, deleted.hash)
}

// release removes the program. Blocks that no other program uses are deleted,
// except those that were shared.
func (c *prefixCache) release(program string) {
	entry, found := c.programs[program]
	if !found {
		return
	}
	for hash := range entry.blocks {
		cached := c.blocks[hash]
		delete(cached.programs, program)
		if len(cached.programs) == 0 && !cached.shared {
			c.deleteBlock(cached)
		}
	}
	delete(c.programs, program)
	c.emit("evicted", program, entry.prefixHash, 0)
}

// pin protects the program's blocks from eviction until the given time, if the
// program has any.
func (c *prefixCache) pin(program string, until time.Time) {
	if entry, found := c.programs[program]; found {
		entry.leaseUntil = until
	}
}

// blocksOf returns the hashes of the program's blocks in prompt order.
func (c *prefixCache) blocksOf(program string) []uint64 {
	hashes := []uint64{}
	entry, found := c.programs[program]
	if !found {
		return hashes
	}
	for hash := range entry.blocks {
		hashes = append(hashes, hash)
	}
	sort.Slice(hashes, func(i, j int) bool { return entry.blocks[hashes[i]] < entry.blocks[hashes[j]] })
	return hashes
}

// listPrograms returns the cached tokens and the lease of each program, sorted
// by program.
func (c *prefixCache) listPrograms(now time.Time) []enginev1.Held {
	result := make([]enginev1.Held, 0, len(c.programs))
	for program, stored := range c.programs {
		entry := enginev1.Held{Program: program, Tokens: int64(len(stored.blocks)) * blockTokens}
		if leaseLeft := stored.leaseUntil.Sub(now); leaseLeft > 0 {
			entry.LeaseLeftMS = leaseLeft.Milliseconds()
		}
		result = append(result, entry)
	}
	sort.Slice(result, func(i, j int) bool { return result[i].Program < result[j].Program })
	return result
}

func (c *prefixCache) usedTokens() int64 { return int64(len(c.blocks)) * blockTokens }
