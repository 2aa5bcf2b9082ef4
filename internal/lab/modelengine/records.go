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

// PromptHash returns the hash of the rendered prompt, as in Record.PromptHash.
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
	for _, req := range e.byArrival {
		records.Requests = append(records.Requests, Record{
			RequestID:    req.wire.RequestID,
			Program:      req.wire.Program,
			State:        req.state,
			Generated:    req.usage.CompletionTokens,
			MaxTokens:    req.wire.MaxTokens,
			PromptTokens: req.usage.PromptTokens,
			CachedTokens: req.usage.CachedTokens,
			PromptHash:   hashText(req.prompt),
			ArrivedMS:    req.arrivedAt.UnixMilli(),
		})
	}
	return records
}
