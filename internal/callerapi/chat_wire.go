package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// ChatRequest is the body of an OpenAI-compatible request. A request with any other
// field is rejected, so that no field is silently ignored.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	MaxTokens           int64          `json:"max_tokens,omitempty"`
	MaxCompletionTokens int64          `json:"max_completion_tokens,omitempty"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	Choices             int            `json:"n,omitempty"`    // number of answers; must be 1 or missing
	User                string         `json:"user,omitempty"` // accepted but not used; the key identifies the tenant
	Adapter             string         `json:"adapter,omitempty"`
	DeadlineMS          int64          `json:"deadline_ms,omitempty"` // from now, in milliseconds; 0 selects Limits.DefaultCallTimeout
}

// StreamOptions are options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"` // whether the last chunk has the usage
}

// ChatMessage is one message of a request.
type ChatMessage struct {
	Role    string      `json:"role"`
	Content ChatContent `json:"content"`
	Name    string      `json:"name,omitempty"` // accepted but not used
}

// ChatContent is the text of a message. In JSON it is a string, or a list of parts
// of type "text" whose texts are concatenated.
type ChatContent string

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *ChatContent) UnmarshalJSON(encoded []byte) error {
	var text string
	if json.Unmarshal(encoded, &text) == nil {
		*c = ChatContent(text)
		return nil
	}
	var parts []chatPart
	if err := json.Unmarshal(encoded, &parts); err != nil {
		return errors.New("content must be text or a list of parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.New("only parts of type text are supported")
		}
		joined.WriteString(part.Text)
	}
	*c = ChatContent(joined.String())
	return nil
}

func (r *ChatRequest) maxTokens() int64 {
	switch {
	case r.MaxCompletionTokens != 0:
		return r.MaxCompletionTokens
	case r.MaxTokens != 0:
		return r.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func (r *ChatRequest) wantsUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// checkSupported returns a problem if a field has a value that is not supported or
// does not fit another field.
func (r *ChatRequest) checkSupported() *problem.Problem {
	if r.Choices > 1 || r.Choices < 0 {
		return malformedProblem("n must be 1")
	}
	if r.StreamOptions != nil && !r.Stream {
		return malformedProblem("stream_options needs stream")
	}
	return nil
}

// Completion is the OpenAI-compatible response, or one chunk of a streamed response.
type Completion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"` // Unix time in seconds
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *ChatUsage   `json:"usage,omitempty"`
}

// ChatChoice is the only choice of a Completion. Message is set in a response that
// is not streamed, and Delta in a chunk.
type ChatChoice struct {
	Index        int        `json:"index"`
	Message      *Message   `json:"message,omitempty"`
	Delta        *ChatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// ChatDelta is the part of the answer that a chunk adds.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ChatUsage is the number of tokens that a call used.
type ChatUsage struct {
	PromptTokens     int64               `json:"prompt_tokens"`
	CompletionTokens int64               `json:"completion_tokens"`
	TotalTokens      int64               `json:"total_tokens"`
	Details          PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails has details of ChatUsage.PromptTokens.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"` // tokens that were found in the engine's cache
}

// chatFormat encodes the events of an OpenAI-compatible stream: chunks, followed by
// "[DONE]". An error is an event "error" whose data has a member "error"; it ends
// the stream without "[DONE]".
type chatFormat struct {
	call         callID
	model        string
	created      int64
	includeUsage bool
}

const chatDone = "data: [DONE]\n\n"

func (f *chatFormat) newCompletion(answer *program.Answer) Completion {
	return Completion{
		ID:      f.completionID(),
		Object:  "chat.completion",
		Created: f.created,
		Model:   f.model,
		Choices: []ChatChoice{{
			Message:      &Message{Role: "assistant", Content: answer.Content},
			FinishReason: &answer.FinishReason,
		}},
		Usage: newChatUsage(answer),
	}
}

func (f *chatFormat) encodePiece(offset int, content string) []byte {
	delta := &ChatDelta{Content: content}
	if offset == 0 {
		delta.Role = "assistant"
	}
	return encodeEvent("", f.newChunk([]ChatChoice{{Delta: delta}}))
}

func (f *chatFormat) encodeEnd(reply execution.FollowReply) []byte {
	events := encodeEvent("", f.newChunk([]ChatChoice{{Delta: &ChatDelta{}, FinishReason: &reply.Answer.FinishReason}}))
	if f.includeUsage {
		last := f.newChunk([]ChatChoice{})
		last.Usage = newChatUsage(reply.Answer)
		events = append(events, encodeEvent("", last)...)
	}
	return append(events, chatDone...)
}

func (f *chatFormat) encodeFailure(document Problem) []byte {
	return encodeEvent("error", struct {
		Error chatError `json:"error"`
	}{chatError{Message: document.Detail, Type: string(document.Title), Problem: document}})
}

// chatError is the member "error" of an error event.
type chatError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Problem Problem `json:"problem"`
}

func (f *chatFormat) newChunk(choices []ChatChoice) Completion {
	return Completion{ID: f.completionID(), Object: "chat.completion.chunk", Created: f.created, Model: f.model, Choices: choices}
}

func (f *chatFormat) completionID() string {
	return fmt.Sprintf("chatcmpl-%s-%d", f.call.program, f.call.sequence)
}

func newChatUsage(answer *program.Answer) *ChatUsage {
	return &ChatUsage{
		PromptTokens:     answer.PromptTokens,
		CompletionTokens: answer.CompletionTokens,
		TotalTokens:      answer.PromptTokens + answer.CompletionTokens,
		Details:          PromptTokensDetails{CachedTokens: answer.CachedTokens},
	}
}
