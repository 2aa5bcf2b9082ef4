package experiment

import (
	"container/list"
	"time"
)

// segment is a part of a prompt. Segments with equal keys have the same content,
// and the same content before them.
type segment struct {
	key    segmentKey
	tokens int64
}

// segmentKey identifies a shared part of a prompt by its hash, or a turn by its
// program and index.
type segmentKey struct {
	shared  uint64 // hash; 0 for a turn
	program int    // index of the program plus 1; 0 for a shared part
	turn    int    // index of the turn
}

// prefixCache is an engine's cache of prompt prefixes: a tree of segments in
// limited memory, from which the least recently used leaf is evicted first.
// Running sequences reserve memory in it and pin the segments that they use.
type prefixCache struct {
	capacityTokens int64
	cachedTokens   int64 // in nodes
	reservedTokens int64 // of running sequences, not in nodes
	nodes          map[segmentKey]*node
	recent         *list.List // of *node, most recently used first
}

// node is a cached segment.
type node struct {
	segment
	parent     *node         // nil for the root of a tree
	children   int           // number of child nodes
	pins       int           // number of running sequences that pin the node
	leaseUntil time.Duration // before this time, the node is evicted only if no other leaf can be
	element    *list.Element // in prefixCache.recent
}

func newPrefixCache(capacityTokens int64) *prefixCache {
	return &prefixCache{capacityTokens: capacityTokens, nodes: make(map[segmentKey]*node), recent: list.New()}
}

// matchPrefix returns the deepest cached node of the path, or nil, and the number
// of tokens from the start to its end.
func (c *prefixCache) matchPrefix(path []segment) (deepest *node, tokens int64) {
	for _, part := range path {
		n, ok := c.nodes[part.key]
		if !ok {
			return deepest, tokens
		}
		deepest = n
		tokens += part.tokens
	}
	return deepest, tokens
}

// reserve reserves memory for a sequence and evicts leaves as needed, leased ones
// last. If the memory that is pinned or reserved leaves too little, it returns
// false and reserves nothing, but what it evicted stays evicted.
func (c *prefixCache) reserve(tokens int64, now time.Duration) bool {
	for _, breakLeases := range []bool{false, true} {
		for c.cachedTokens+c.reservedTokens+tokens > c.capacityTokens {
			if !c.evictOne(now, breakLeases) {
				break
			}
		}
	}
	if c.cachedTokens+c.reservedTokens+tokens > c.capacityTokens {
		return false
	}
	c.reservedTokens += tokens
	return true
}

// unreserve ends the reservation of this number of tokens.
func (c *prefixCache) unreserve(tokens int64) { c.reservedTokens -= tokens }

// insert adds the missing nodes of the path and returns its deepest node, or nil
// for an empty path. The caller must have reserved memory for the new nodes and
// must end that reservation itself.
func (c *prefixCache) insert(path []segment) *node {
	var parent *node
	for _, part := range path {
		n, ok := c.nodes[part.key]
		if !ok {
			n = &node{segment: part, parent: parent}
			n.element = c.recent.PushFront(n)
			c.nodes[part.key] = n
			c.cachedTokens += part.tokens
			if parent != nil {
				parent.children++
			}
		}
		parent = n
	}
	c.touch(parent)
	return parent
}

// touch marks the node and its ancestors as most recently used, the root last.
func (c *prefixCache) touch(n *node) {
	for ; n != nil; n = n.parent {
		c.recent.MoveToFront(n.element)
	}
}

// evictOne removes the least recently used leaf that is not pinned and, unless
// breakLeases is set, has no lease. It returns false if there is none.
func (c *prefixCache) evictOne(now time.Duration, breakLeases bool) bool {
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		candidate := element.Value.(*node)
		if candidate.children > 0 || candidate.pins > 0 {
			continue
		}
		if !breakLeases && candidate.leaseUntil > now {
			continue
		}
		c.remove(candidate)
		return true
	}
	return false
}

// release removes the cached turns of the program, the last one first, as far as
// they are not pinned and have no children.
func (c *prefixCache) release(program, turns int) {
	for turn := turns - 1; turn >= 0; turn-- {
		n, ok := c.nodes[segmentKey{program: program, turn: turn}]
		if ok && n.children == 0 && n.pins == 0 {
			c.remove(n)
		}
	}
}

func (c *prefixCache) remove(leaf *node) {
	if leaf.parent != nil {
		leaf.parent.children--
	}
	c.recent.Remove(leaf.element)
	delete(c.nodes, leaf.key)
	c.cachedTokens -= leaf.tokens
}
