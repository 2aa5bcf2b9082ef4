package modelengine

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestBlocksOfReturnsPromptOrder(t *testing.T) {
	g := NewWithT(t)
	const blocks = 64
	cache := newPrefixCache(2*blocks*blockTokens, func(string, string, uint64, int64) {})
	prompt := make([]uint64, 0, blocks)
	for position := range uint64(blocks) {
		prompt = append(prompt, position*2654435761%4093)
	}
	cache.store("program", prompt, time.Now())
	exported := cache.blocksOf("program")
	g.Expect(slices.Equal(exported, prompt)).To(BeTrue())
	g.Expect(prefixHash(exported)).To(Equal(prefixHash(prompt)))
	g.Expect(cache.blocksOf("another")).To(BeEmpty())
}
