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

// missing counts the tokens of a prompt that the instance would have to read, if
// it keeps so many parts as every instance does, and those guessed here.
func (p *prefixes) missing(parts []PromptPart, everywhere int) int {
	tokens := 0
	kept := true
	for index, part := range parts {
		kept = kept && (index < everywhere || p.parts.Contains(part.Name))
		if !kept {
			tokens += part.Tokens
		}
	}
	return tokens
}
