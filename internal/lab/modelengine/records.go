package modelengine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

// Record is what the engine actually did for one request.
type Record struct {
	RequestID    string `json:"request_id"`
	Program      string `json:"program"`
	State        string `json:"state"`
	Generated    int64  `json:"generated"`
	MaxTokens    int64  `json:"max_tokens"`
	PromptTokens int64  `json:"prompt_tokens"`
	CachedTokens int64  `json:"cached_tokens"`
	PromptHash   string `json:"prompt_hash"`
	ArrivedMS    int64  `json:"arrived_unix_ms"`
}

// PromptHash returns the hash of the prompt as it stands in Record.PromptHash.
func PromptHash(messages []enginev1.Message) string { return hashText(renderPrompt(messages)) }

func hashText(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// Records is the response body of standin.PathRecords.
type Records struct {
	Name     string          `json:"name"`
	Requests []Record        `json:"requests"` // in order of arrival
	Held     []enginev1.Held `json:"held"`     // cached tokens by program
}

// Records returns all requests since the start, and what is in the cache now.
func (e *Engine) Records() Records {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	records := Records{Name: e.options.Name, Requests: []Record{}, Held: e.cache.listPrograms(time.Now())}
	for _, known := range e.byArrival {
		records.Requests = append(records.Requests, Record{
			RequestID:    known.wire.RequestID,
			Program:      known.wire.Program,
			State:        known.state,
			Generated:    known.usage.CompletionTokens,
			MaxTokens:    known.wire.MaxTokens,
			PromptTokens: known.usage.PromptTokens,
			CachedTokens: known.usage.CachedTokens,
			PromptHash:   hashText(known.prompt),
			ArrivedMS:    known.arrivedAt.UnixMilli(),
		})
	}
	return records
}
