package turn

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Sizes in bytes.
const (
	// firstBytes are those by which inputs are found that may begin alike.
	firstBytes = 1 << 10
	// sharedStep is what a common beginning is rounded down to, so that all daemons,
	// which compare other inputs, find the same piece though a few bytes behind the
	// common ones happen to agree. On average half a step is kept by each turn.
	sharedStep = 256
	// smallestShared is the least that is kept apart: a piece costs a daemon one
	// commit and sometimes one reading, and below this a conversation saves less than
	// the names in its rows take.
	smallestShared = 2 << 10
	mostCompared   = 64 << 10 // of an input
	// Bounds of the inputs that are remembered.
	mostBeginnings     = 256 // different first bytes
	mostAlike          = 6   // inputs with the same first bytes
	mostBeginningBytes = 3 << 20
)

// beginnings notices, by content alone, that first inputs begin with the same bytes.
// Where they do, all that they have in common is kept once instead of with each program
// (BenchmarkBytesKept: 2,300 bytes in place of 14,500 for a first turn of which 12,600
// bytes are common). Where callers share nothing, it costs a hash of the first bytes.
// It is safe for concurrent use.
type beginnings struct {
	mutex sync.Mutex
	known *simplelru.LRU[uint64, []*beginning]
	bytes int
}

// beginning is the beginning of a first input.
type beginning struct {
	input  []byte
	shared int // bytes in common with another input; 0: none was found yet
}

func newBeginnings() *beginnings {
	made := &beginnings{}
	known, err := simplelru.NewLRU(mostBeginnings, func(_ uint64, gone []*beginning) { made.bytes -= sizeOf(gone) })
	if err != nil {
		panic(err) // only for a size below one
	}
	made.known = known
	return made
}

func sizeOf(alike []*beginning) int {
	size := 0
	for _, each := range alike {
		size += len(each.input)
	}
	return size
}

// shared returns how many bytes at an input's beginning other inputs begin with too;
// 0: too few. An input of which more than a quarter is new is remembered.
func (b *beginnings) shared(input []byte) int {
	if len(input) < smallestShared {
		return 0
	}
	compared := input[:min(len(input), mostCompared)]
	key := xxhash.Sum64(input[:firstBytes])
	b.mutex.Lock()
	defer b.mutex.Unlock()
	alike, _ := b.known.Get(key)
	length, again := longestCommon(alike, compared)
	if !again && length < len(compared)*3/4 {
		b.remember(key, alike, compared)
	}
	return length
}

// longestCommon returns the rounded length of the longest beginning in common with one
// of the inputs. A whole input that came before, as a program that begins anew sends
// it, says nothing of what other programs have in common with it: of that, what was
// found before counts, if anything was.
func longestCommon(alike []*beginning, input []byte) (length int, again bool) {
	longest, same := 0, 0
	for _, other := range alike {
		common := commonSteps(other.input, input)
		if common < smallestShared {
			continue
		}
		if bytes.Equal(other.input, input) {
			same = common
			longest = max(longest, other.shared)
			continue
		}
		other.shared = max(other.shared, common)
		longest = max(longest, common)
	}
	if longest == 0 {
		longest = same
	}
	return longest, same > 0
}

// commonSteps returns the length of the common beginning, in whole steps.
func commonSteps(a, b []byte) int {
	length := 0
	for end := sharedStep; end <= min(len(a), len(b)); end += sharedStep {
		if !bytes.Equal(a[length:end], b[length:end]) {
			break
		}
		length = end
	}
	return length
}

// remember keeps an input; the oldest of those alike gives way.
func (b *beginnings) remember(key uint64, alike []*beginning, input []byte) {
	kept := append(slices.Clone(alike), &beginning{input: slices.Clone(input)})
	kept = kept[max(0, len(kept)-mostAlike):]
	b.bytes += sizeOf(kept) - sizeOf(alike)
	b.known.Add(key, kept)
	for b.bytes > mostBeginningBytes && b.known.Len() > 1 {
		b.known.RemoveOldest()
	}
}
