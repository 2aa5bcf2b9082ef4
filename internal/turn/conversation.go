package turn

import (
	"crypto/sha256"
	"slices"
)

// digest is that of a conversation up to the end of a turn: of the digest up to the
// turn before it and of what the turn adds.
type digest [sha256.Size]byte

// segment is a part of what a turn adds. Its bytes are not to be changed.
type segment struct {
	bytes  []byte
	shared bool // with other conversations, as a piece
}

// Turn is a finished turn with the conversation up to its end. What came before is
// shared with the turns before it, not copied. A Turn does not change.
type Turn struct {
	identifier string
	owner      string // whose turn it is; "": nobody's
	engine     string
	previous   *Turn // nil: the conversation begins with what this turn holds
	added      []segment
	digest     digest
	length     int   // of the conversation, in bytes
	until      int64 // unix seconds: a row or piece that it lies in may be removed from then on
}

// Engine is the instance that ran the turn; a hint where its prefix lies.
func (t *Turn) Engine() string { return t.engine }

// Length is how many bytes the conversation has.
func (t *Turn) Length() int {
	if t == nil {
		return 0
	}
	return t.length
}

// Segments returns the bytes of the conversation in order. They are shared and not
// to be changed. A nil Turn has none.
func (t *Turn) Segments() [][]byte {
	var segments [][]byte
	for _, each := range t.chain() {
		for _, part := range each.added {
			segments = append(segments, part.bytes)
		}
	}
	return segments
}

// chain returns the turns of the conversation, the oldest first.
func (t *Turn) chain() []*Turn {
	var chain []*Turn
	for each := t; each != nil; each = each.previous {
		chain = append(chain, each)
	}
	slices.Reverse(chain)
	return chain
}

// mostAncestors bounds the names in a turn's row. Chains of up to so many turns are
// read in two steps, the turn and then all of its ancestors at once; each further step
// reads so many more. A name takes some 25 bytes of a turn's 3,000.
const mostAncestors = 32

// ancestorsAfter names the turn and those before it, the nearest first.
func ancestorsAfter(previous *Turn) []string {
	var names []string
	for each := previous; each != nil && len(names) < mostAncestors; each = each.previous {
		names = append(names, each.identifier)
	}
	return names
}

// complete makes a turn of what it adds to the one before it.
func (t *Turn) complete() *Turn {
	hash := sha256.New()
	t.length = t.previous.Length()
	if t.previous != nil {
		hash.Write(t.previous.digest[:])
		t.until = min(t.until, t.previous.until)
	}
	for _, part := range t.added {
		hash.Write(part.bytes)
		t.length += len(part.bytes)
	}
	hash.Sum(t.digest[:0])
	return t
}

// addedBytes is the memory that a turn takes itself; pieces are counted elsewhere.
func (t *Turn) addedBytes() int {
	const fixed = 256
	bytes := fixed
	for _, part := range t.added {
		if !part.shared {
			bytes += len(part.bytes)
		}
	}
	return bytes
}
