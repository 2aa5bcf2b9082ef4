package replay

import (
	"fmt"
	"slices"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
)

// expectedPrompts returns the prompt of each call of the program: the messages and
// answers of the answered calls before it, then its own messages. Calls to services
// and tools have none (nil).
func expectedPrompts(p *programRun) [][]enginev1.Message {
	all := make([][]enginev1.Message, len(p.results))
	var history []enginev1.Message
	for index, res := range p.results {
		call := p.submitted[index]
		if call.Model == "" {
			continue
		}
		all[index] = slices.Concat(history, engineMessages(call.body.Messages))
		if res.answer != nil {
			history = append(slices.Clip(all[index]), enginev1.Message{Role: "assistant", Content: res.answer.Content})
		}
	}
	return all
}

func engineMessages(messages []callerapi.Message) []enginev1.Message {
	converted := make([]enginev1.Message, 0, len(messages))
	for _, message := range messages {
		converted = append(converted, enginev1.Message(message))
	}
	return converted
}

// checkPrompts checks that each request to an engine, also of a call without an
// answer, had the expected prompt and the identifier of its program.
func (e *evidence) checkPrompts() []string {
	var findings []string
	for _, p := range e.programs {
		for index, prompt := range expectedPrompts(p) {
			if prompt == nil {
				continue
			}
			expectedHash := modelengine.PromptHash(prompt)
			for _, request := range e.records.requests[callID(p.id, index)] {
				if request.PromptHash != expectedHash || request.Program != string(p.id) {
					findings = append(findings, fmt.Sprintf("%s call %d: an engine received an unexpected prompt or program identifier (request %s)", p.name, index+1, request.RequestID))
				}
			}
		}
	}
	return findings
}

// checkArrivalOrder checks that the calls of a program first reached a back end in
// the order of their sequence numbers.
func (e *evidence) checkArrivalOrder(p *programRun) []string {
	var findings []string
	var latest int64
	for index := range p.results {
		first, reached := e.records.firstArrivalMS[callID(p.id, index)]
		if !reached {
			continue
		}
		if first < latest {
			findings = append(findings, fmt.Sprintf("%s call %d: reached a back end %d ms before an earlier call", p.name, index+1, latest-first))
		}
		latest = max(latest, first)
	}
	return findings
}

// isExpectedAnswer reports whether the answer is the complete one to the prompt. An
// answer with the finish reason "length" may be shorter than the caller's limit if
// an engine was given exactly that limit, as happens when the budget runs out.
func (e *evidence) isExpectedAnswer(p *programRun, index int, prompt []enginev1.Message) bool {
	call, answer := p.submitted[index], p.results[index].answer
	limit := call.MaxTokens
	for _, request := range e.records.requests[callID(p.id, index)] {
		if answer.FinishReason == "length" && request.MaxTokens == answer.CompletionTokens {
			limit = min(limit, request.MaxTokens)
		}
	}
	whole, finish := modelengine.Answer(call.Model, call.Adapter, prompt, limit)
	return whole == answer.Content && finish == answer.FinishReason
}
