package backend

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Sharing knows which parts of prompts several programs share, as far as this
// process saw them. Such parts are asked for again and again, and by a program
// that comes to any engine: all engines keep them soon, and it pays to read one
// once more rather than to send all its programs to the engine that has it.
// It is a hint. It is safe for concurrent use.
type Sharing struct {
	mutex        sync.Mutex
	parts        *simplelru.LRU[string, namedPart]
	sharedTokens int // of all parts that are shared
}

// namedPart is a part that was named by a program.
type namedPart struct {
	program string // the last that named it
	tokens  int
	shared  bool // another program had named it before
}

const (
	// partsNoted bounds what is remembered; the part unused the longest gives way.
	partsNoted = 4096
	// memoryForShared is the part of an engine's memory, as a divisor, that shared
	// parts may take and still count as kept at all engines: the rest is for what
	// runs and for what is not shared.
	memoryForShared = 2
)

// NewSharing knows nothing yet.
func NewSharing() *Sharing {
	sharing := &Sharing{}
	cache, err := simplelru.NewLRU(partsNoted, sharing.forgotten)
	if err != nil {
		panic(err) // only for a size below one
	}
	sharing.parts = cache
	return sharing
}

// Note takes in that a program named these parts. It returns how many of them, from
// the first on, count as kept at every engine whose memory holds so many tokens:
// those that programs share, if all that are shared fit in. Without a program
// nothing is taken in.
func (s *Sharing) Note(program string, parts []PromptPart, memoryTokens int) int {
	if program == "" {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	everywhere := 0
	for index, part := range parts {
		if s.note(program, part) && index == everywhere {
			everywhere++
		}
	}
	if s.sharedTokens > memoryTokens/memoryForShared {
		return 0
	}
	return everywhere
}

// note tells whether programs share the part.
func (s *Sharing) note(program string, part PromptPart) bool {
	known, found := s.parts.Get(part.Name)
	if !found {
		known.tokens = part.Tokens
	}
	if found && !known.shared && known.program != program {
		known.shared = true
		s.sharedTokens += known.tokens
	}
	known.program = program
	s.parts.Add(part.Name, known)
	return known.shared
}

// forgotten is called for a part that gives way.
func (s *Sharing) forgotten(_ string, part namedPart) {
	if part.shared {
		s.sharedTokens -= part.tokens
	}
}
