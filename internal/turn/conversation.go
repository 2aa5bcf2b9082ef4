package turn

import (
	"crypto/sha256"
	"slices"
)

// digest identifies the content of a conversation up to the end of a turn. It is the SHA-256 sum
// of the previous turn's digest, if there is one, followed by the bytes that the turn adds.
type digest [sha256.Size]byte

// segment is a part of what a turn adds. Its bytes must not be modified.
type segment struct {
	bytes  []byte
	shared bool // whether the bytes are a piece that other conversations share
}

// Turn is a finished turn together with the conversation up to its end. It refers to the earlier
// turns instead of copying them. A Turn is immutable and safe for concurrent use.
type Turn struct {
	identifier string
	owner      string    // name of the tenant; empty if there is none
	engine     string    // ID of the instance that ran the turn
	previous   *Turn     // the turn before it; nil if the segments begin the conversation
	added      []segment // what the turn adds, in order
	digest     digest
	length     int   // bytes of the whole conversation
	expiry     int64 // Unix time in seconds after which a row or piece of the conversation may be removed
}

// Engine returns the ID of the instance that ran the turn. That instance probably still has the
// conversation in its prefix cache.
func (t *Turn) Engine() string { return t.engine }

// Size returns the size of the whole conversation in bytes; 0 for a nil Turn.
func (t *Turn) Size() int {
	if t == nil {
		return 0
	}
	return t.length
}

// Segments returns the bytes of the whole conversation in order. They are shared and must not be
// modified. For a nil Turn it returns nil.
func (t *Turn) Segments() [][]byte {
	var segments [][]byte
	for _, each := range t.chain() {
		for _, seg := range each.added {
			segments = append(segments, seg.bytes)
		}
	}
	return segments
}

// chain returns the turn and all earlier turns, the oldest first; nil for a nil Turn.
func (t *Turn) chain() []*Turn {
	var chain []*Turn
	for each := t; each != nil; each = each.previous {
		chain = append(chain, each)
	}
	slices.Reverse(chain)
	return chain
}

// maxAncestors is the maximum number of ancestors that a turn's rows name. A turn with at most
// maxAncestors ancestors is loaded in two steps: first its own rows, and then the rows of all
// ancestors at the same time. Each further step reads up to maxAncestors more turns. A name takes
// some 25 bytes of the about 3,000 bytes of a turn.
const maxAncestors = 32

// ancestorNames returns the identifiers of at most maxAncestors turns: previous and the turns
// before it, the nearest first.
func ancestorNames(previous *Turn) []string {
	var names []string
	for each := previous; each != nil && len(names) < maxAncestors; each = each.previous {
		names = append(names, each.identifier)
	}
	return names
}

// complete computes the digest and the length of t from its previous turn and its segments, and
// reduces its expiry to that of the previous turn if that is earlier. It returns t.
func (t *Turn) complete() *Turn {
	hash := sha256.New()
	t.length = t.previous.Size()
	if t.previous != nil {
		hash.Write(t.previous.digest[:])
		t.expiry = min(t.expiry, t.previous.expiry)
	}
	for _, seg := range t.added {
		hash.Write(seg.bytes)
		t.length += len(seg.bytes)
	}
	hash.Sum(t.digest[:0])
	return t
}

// addedBytes returns approximately how many bytes of memory the turn itself takes. Earlier turns
// and shared pieces are not included.
func (t *Turn) addedBytes() int {
	const overheadBytes = 256
	bytes := overheadBytes
	for _, seg := range t.added {
		if !seg.shared {
			bytes += len(seg.bytes)
		}
	}
	return bytes
}
