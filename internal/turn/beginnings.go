package turn

import (
	"bytes"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits of prefixIndex, in bytes unless a comment gives another unit.
const (
	// prefixKeyBytes is how many bytes at the beginning of an input are hashed. Inputs are looked
	// up by this hash.
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
	maxPrefixKeys   = 256     // number of different hashes
	maxInputsPerKey = 6       // number of inputs with the same hash
	maxIndexBytes   = 3 << 20 // all inputs together
)

// prefixIndex remembers recent first inputs of conversations and finds prefixes that several of
// them share, so that a shared prefix can be stored once as a piece instead of once for each
// conversation. It compares contents, so callers need not mark shared prefixes. An input that
// shares nothing costs a hash of its first prefixKeyBytes bytes. A prefixIndex is safe for
// concurrent use.
type prefixIndex struct {
	mutex      sync.Mutex
	inputs     *simplelru.LRU[uint64, []*knownInput]
	totalBytes int // bytes of all inputs
}

// knownInput holds the first maxComparedBytes of an input, or all of a shorter one.
type knownInput struct {
	input       []byte
	sharedBytes int // length of the longest prefix that a later input had in common with it; 0 if there was none
}

func newPrefixIndex() *prefixIndex {
	index := &prefixIndex{}
	inputs, err := simplelru.NewLRU(maxPrefixKeys, func(_ uint64, evicted []*knownInput) { index.totalBytes -= inputBytes(evicted) })
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
// 0 if these are fewer than minSharedBytes. It adds the input to the index if no equal input is
// there and if more than a quarter of the compared bytes is not shared.
func (p *prefixIndex) sharedLength(input []byte) int {
	if len(input) < minSharedBytes {
		return 0
	}
	prefix := input[:min(len(input), maxComparedBytes)]
	key := xxhash.Sum64(input[:prefixKeyBytes])
	p.mutex.Lock()
	defer p.mutex.Unlock()
	sameKey, _ := p.inputs.Get(key)
	length, isKnown := longestSharedPrefix(sameKey, prefix)
	if !isKnown && length < len(prefix)*3/4 {
		p.add(key, sameKey, prefix)
	}
	return length
}

// longestSharedPrefix returns the length of the longest prefix that input has in common with one
// of the known inputs, rounded down to a multiple of prefixStepBytes, and whether input equals
// one of them. An equal input usually comes from a program that was started again. It does not
// show what different programs share, so its own length counts only if no shorter prefix is
// known to be shared.
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

// add adds a copy of input to sameKey, the inputs in the index under key. If limits are exceeded, it
// drops the oldest input with this key, and then all inputs of the least recently used keys.
func (p *prefixIndex) add(key uint64, sameKey []*knownInput, input []byte) {
	inputs := append(slices.Clone(sameKey), &knownInput{input: slices.Clone(input)})
	inputs = inputs[max(0, len(inputs)-maxInputsPerKey):]
	p.totalBytes += inputBytes(inputs) - inputBytes(sameKey)
	p.inputs.Add(key, inputs)
	for p.totalBytes > maxIndexBytes && p.inputs.Len() > 1 {
		p.inputs.RemoveOldest()
	}
}
