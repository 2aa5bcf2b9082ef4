package turn

import (
	"bytes"
	"slices"
)

// Addition is what a turn adds to a conversation.
type Addition struct {
	Previous *Turn  // the turn that this one continues; nil if it starts a conversation
	Tenant   string // name of the tenant; empty if there is none
	Engine   string // ID of the instance that ran the turn
	Input    []byte // bytes that the caller sent
	Output   []byte // bytes that the engine generated
}

// plan describes what the rows of a turn will hold.
type plan struct {
	previous  *Turn // the turn that the rows refer to; nil if they hold the whole conversation
	segments  []segment
	isRebased bool // whether the whole conversation is stored because the previous turn expires too soon
}

// needsRebase reports whether the rows of the turn must hold the whole conversation, since the previous
// turn expires before promised, a Unix time in seconds.
func (a *Addition) needsRebase(promised int64) bool {
	return a.Previous != nil && a.Previous.expiry < promised
}

// newPlan decides what the rows of a turn hold. shared is the number of bytes at the beginning of
// the input of a first turn that are stored as a piece. promised is the Unix time in seconds
// until which the turn must be available. If the previous turn expires before that, the rows
// hold the whole conversation instead of a reference to it.
func newPlan(added Addition, shared int, promised int64) plan {
	own := bytes.Join([][]byte{added.Input[shared:], added.Output}, nil)
	switch {
	case added.Previous == nil && shared > 0:
		return plan{segments: []segment{{bytes: added.Input[:shared], shared: true}, {bytes: own}}}
	case added.Previous == nil:
		return plan{segments: []segment{{bytes: own}}}
	case added.needsRebase(promised):
		return plan{segments: rebase(added.Previous, own), isRebased: true}
	default:
		return plan{previous: added.Previous, segments: []segment{{bytes: own}}}
	}
}

// rebase returns segments with the whole conversation up to previous, followed by own. It joins
// adjacent segments, except for shared ones, which remain separate pieces.
func rebase(previous *Turn, own []byte) []segment {
	var joined []segment
	var unshared [][]byte
	endUnshared := func() {
		if len(unshared) > 0 {
			joined = append(joined, segment{bytes: slices.Concat(unshared...)})
		}
		unshared = nil
	}
	for _, each := range previous.chain() {
		for _, seg := range each.added {
			if seg.shared {
				endUnshared()
				joined = append(joined, seg)
				continue
			}
			unshared = append(unshared, seg.bytes)
		}
	}
	unshared = append(unshared, own)
	endUnshared()
	return joined
}
