package turn

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Sizes in bytes, unless a comment says otherwise.
const (
	// prefixKeyBytes is the length of the prefix by whose hash inputs are looked up.
	prefixKeyBytes = 1 << 10
	// prefixStepBytes is the unit to which the length of a common prefix is rounded down.
	// Daemons compare different inputs, and some of these agree by chance in a few more bytes.
	// Rounding makes all daemons find the same piece. On average it leaves half a unit of
	// shared bytes in the rows of each turn.
	prefixStepBytes = 256
	// minSharedBytes is the shortest prefix that is stored as a piece. A piece costs each daemon
	// one commit and sometimes one read, and a shorter piece would save less space than the
	// identifiers in the rows of a conversation take.
	minSharedBytes = 2 << 10
	// maxComparedBytes is how much of an input, from its beginning, is compared and remembered.
	maxComparedBytes = 64 << 10
	// Limits of the inputs in the index.
	maxPrefixKeys   = 256     // number of different prefix hashes
	maxInputsPerKey = 6       // number of inputs with the same prefix hash
	maxIndexBytes   = 3 << 20 // all inputs together
)

// prefixIndex remembers recent first inputs of conversations and finds prefixes that several of
// them share, so that a shared prefix can be stored once as a piece instead of once for each
// conversation. It compares contents only; callers declare nothing. An input that shares
// nothing costs a hash of its first prefixKeyBytes. It is safe for concurrent use.
type prefixIndex struct {
	mutex      sync.Mutex
	inputs     *simplelru.LRU[uint64, []*knownInput]
	totalBytes int // bytes of all inputs
}

// knownInput is the beginning of a first input, maxComparedBytes at most.
type knownInput struct {
	input       []byte
	sharedBytes int // longest prefix found in common with another input; 0 if none was found
}

func newPrefixIndex() *prefixIndex {
	index := &prefixIndex{}
	inputs, err := simplelru.NewLRU(maxPrefixKeys, func(_ uint64, gone []*knownInput) { index.totalBytes -= inputBytes(gone) })
	if err != nil {
		panic(err) // happens only for a size below one
	}
	index.inputs = inputs
	return index
}

// inputBytes returns the total size of the inputs.
func inputBytes(inputs []*knownInput) int {
	size := 0
	for _, each := range inputs {
		size += len(each.input)
	}
	return size
}

// sharedLength returns how many bytes at the beginning of input are shared with other inputs, or
// 0 if these are fewer than minSharedBytes. It adds the input to the index if the input is not
// there yet and more than a quarter of the compared bytes is new.
func (b *prefixIndex) sharedLength(input []byte) int {
	if len(input) < minSharedBytes {
		return 0
	}
	prefix := input[:min(len(input), maxComparedBytes)]
	key := xxhash.Sum64(input[:prefixKeyBytes])
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sameKey, _ := b.inputs.Get(key)
	length, isKnown := longestSharedPrefix(sameKey, prefix)
	if !isKnown && length < len(prefix)*3/4 {
		b.add(key, sameKey, prefix)
	}
	return length
}

// longestSharedPrefix returns the length of the longest prefix that input has in common with one
// of the known inputs, rounded down to whole steps, and whether input equals one of them. An
// equal input usually comes from a program that was started again, so it does not show what
// different programs share. For an equal input, the longest prefix that it was found to share
// with other inputs counts. Its whole length counts only if there is no such prefix.
func longestSharedPrefix(sameKey []*knownInput, input []byte) (length int, isKnown bool) {
	longest, equalLength := 0, 0
	for _, other := range sameKey {
		common := commonPrefixLength(other.input, input)
		if common < minSharedBytes {
			continue
		}
		if bytes.Equal(other.input, input) {
			equalLength = common
			longest = max(longest, other.sharedBytes)
			continue
		}
		other.sharedBytes = max(other.sharedBytes, common)
		longest = max(longest, common)
	}
	if longest == 0 {
		longest = equalLength
	}
	return longest, equalLength > 0
}

// commonPrefixLength returns the length of the common prefix of a and b, rounded down to a
// multiple of prefixStepBytes.
func commonPrefixLength(a, b []byte) int {
	length := 0
	for end := prefixStepBytes; end <= min(len(a), len(b)); end += prefixStepBytes {
		if !bytes.Equal(a[length:end], b[length:end]) {
			break
		}
		length = end
	}
	return length
}

// add adds a copy of input to the inputs with the same key. Beyond the limits it drops the
// oldest input with the same key and the least recently used keys.
func (b *prefixIndex) add(key uint64, sameKey []*knownInput, input []byte) {
	kept := append(slices.Clone(sameKey), &knownInput{input: slices.Clone(input)})
	kept = kept[max(0, len(kept)-maxInputsPerKey):]
	b.totalBytes += inputBytes(kept) - inputBytes(sameKey)
	b.inputs.Add(key, kept)
	for b.totalBytes > maxIndexBytes && b.inputs.Len() > 1 {
		b.inputs.RemoveOldest()
	}
}
