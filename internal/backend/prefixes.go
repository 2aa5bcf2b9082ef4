package backend

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// PromptPart is a named part of a prompt. Requests that have a part in common use the same name
// for it.
type PromptPart struct {
	Name   string
	Tokens int
}

// prefixCache estimates which prompt parts an instance has cached: the last maxCachedParts
// different parts that were added.
type prefixCache struct {
	parts *lru.Cache[string, struct{}]
}

// maxCachedParts bounds the recorded parts of an instance. It is more than engines are expected
// to hold in memory.
const maxCachedParts = 512

func newPrefixCache() *prefixCache {
	cache, err := lru.New[string, struct{}](maxCachedParts)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &prefixCache{parts: cache}
}

func (p *prefixCache) add(parts []PromptPart) {
	for _, part := range parts {
		p.parts.Add(part.Name, struct{}{})
	}
}

// missingTokens returns the number of tokens after the cached prefix of a prompt. The first
// sharedParts parts count as cached.
func (p *prefixCache) missingTokens(parts []PromptPart, sharedParts int) int {
	tokens := 0
	cached := true
	for index, part := range parts {
		cached = cached && (index < sharedParts || p.parts.Contains(part.Name))
		if !cached {
			tokens += part.Tokens
		}
	}
	return tokens
}
