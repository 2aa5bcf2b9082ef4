package backend

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// SharedPartTracker records which prompt parts several programs have in common, as far as this process
// sees them. Programs on any engine use such parts, so that all engines soon have them cached.
// Reading a shared part once more is cheaper than sending all programs that use it to one
// engine. The result is an estimate. Sharing is safe for concurrent use.
type SharedPartTracker struct {
	mutex        sync.Mutex
	parts        *simplelru.LRU[string, seenPart]
	sharedTokens int // size of all shared parts in tokens
}

// seenPart is a prompt part that a program has used.
type seenPart struct {
	lastProgram string // program that used it most recently
	tokens      int
	shared      bool // used by at least two programs
}

const (
	// maxTrackedParts bounds the recorded parts; the least recently used one is evicted.
	maxTrackedParts = 4096
	// sharedMemoryDivisor limits the shared parts that count as cached at all engines to
	// 1/sharedMemoryDivisor of an engine's memory. The rest is left for running requests and
	// other prompts.
	sharedMemoryDivisor = 2
)

// NewSharedPartTracker returns an empty Sharing.
func NewSharedPartTracker() *SharedPartTracker {
	sharing := &SharedPartTracker{}
	parts, err := simplelru.NewLRU(maxTrackedParts, sharing.onEvicted)
	if err != nil {
		panic(err) // only for a size below one
	}
	sharing.parts = parts
	return sharing
}

// Record records that a program used these parts. It returns how many of the leading parts count
// as cached at every engine with a memory of memoryTokens: the shared ones, or none if the
// shared parts known to this process take too much of that memory. If program is empty, it
// records nothing and returns 0.
func (s *SharedPartTracker) Record(program string, parts []PromptPart, memoryTokens int) int {
	if program == "" {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sharedPrefix := 0
	for index, part := range parts {
		if s.recordPart(program, part) && index == sharedPrefix {
			sharedPrefix++
		}
	}
	if s.sharedTokens > memoryTokens/sharedMemoryDivisor {
		return 0
	}
	return sharedPrefix
}

// recordPart records one use of a part and reports whether at least two programs have used it.
func (s *SharedPartTracker) recordPart(program string, part PromptPart) bool {
	known, found := s.parts.Get(part.Name)
	if !found {
		known.tokens = part.Tokens
	}
	if found && !known.shared && known.lastProgram != program {
		known.shared = true
		s.sharedTokens += known.tokens
	}
	known.lastProgram = program
	s.parts.Add(part.Name, known)
	return known.shared
}

// onEvicted subtracts the tokens of an evicted part.
func (s *SharedPartTracker) onEvicted(_ string, part seenPart) {
	if part.shared {
		s.sharedTokens -= part.tokens
	}
}
