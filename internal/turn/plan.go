package turn

import (
	"bytes"
	"slices"
)

// Addition is what a turn adds to a conversation.
type Addition struct {
	Previous *Turn  // the turn that it goes on from; nil: it begins a conversation
	Owner    string // whose turn it is; "": nobody's
	Engine   string // the instance that ran it
	Input    []byte
	Output   []byte
}

// plan is what the rows of a turn are to hold.
type plan struct {
	previous *Turn // that the rows refer to; nil: they hold the whole conversation
	segments []segment
	rebased  bool // the turn before it is not kept for long enough to be referred to
}

// planOf decides what the rows of a turn hold that is promised until then. shared is
// how many bytes at the beginning of its input are kept apart.
func planOf(added Addition, shared int, promised int64) plan {
	own := bytes.Join([][]byte{added.Input[shared:], added.Output}, nil)
	switch {
	case added.Previous == nil && shared > 0:
		return plan{segments: []segment{{bytes: added.Input[:shared], shared: true}, {bytes: own}}}
	case added.Previous == nil:
		return plan{segments: []segment{{bytes: own}}}
	case added.Previous.until >= promised:
		return plan{previous: added.Previous, segments: []segment{{bytes: own}}}
	default:
		return plan{segments: rebase(added.Previous, own), rebased: true}
	}
}

// rebase joins a whole conversation and what is added to it, besides shared pieces.
func rebase(previous *Turn, own []byte) []segment {
	var joined []segment
	var run [][]byte
	endRun := func() {
		if len(run) > 0 {
			joined = append(joined, segment{bytes: slices.Concat(run...)})
		}
		run = nil
	}
	for _, each := range previous.chain() {
		for _, part := range each.added {
			if part.shared {
				endRun()
				joined = append(joined, part)
				continue
			}
			run = append(run, part.bytes)
		}
	}
	run = append(run, own)
	endRun()
	return joined
}
