package backend

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	Name   string
	Tokens int
}

// prefixes guesses which parts of prompts lie in an instance's memory: those
// that this process sent there last, up to the memory's size.
type prefixes struct {
	parts *lru.Cache[string, struct{}]
}

// partsRemembered bounds the guess; the memory of an engine holds fewer.
const partsRemembered = 512

func newPrefixes() *prefixes {
	cache, err := lru.New[string, struct{}](partsRemembered)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &prefixes{parts: cache}
}

func (p *prefixes) add(parts []PromptPart) {
	for _, part := range parts {
		p.parts.Add(part.Name, struct{}{})
	}
}

// cached counts the tokens of the leading parts that are kept.
func (p *prefixes) cached(parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		if !p.parts.Contains(part.Name) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
