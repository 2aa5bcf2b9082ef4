package execution

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// maxPromptPrefixes is the maximum number of prefixes computed per prompt. A few are
// enough, because shared content such as instructions comes first in a prompt.
const maxPromptPrefixes = 4

// promptPrefixes returns the prefixes of the prompt that other programs may share,
// shortest first. There is one for each of the first maxPromptPrefixes messages,
// which covers the prompt up to the end of that message.
func promptPrefixes(call *program.CallSpec, history []program.Message) []engine.PromptPrefix {
	digest := xxhash.New()
	write := func(text string) {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	write(call.Name)
	write(call.Adapter)
	var prefixes []engine.PromptPrefix
	var tokens int64
	for _, messages := range [][]program.Message{history, call.Messages} {
		for index := range messages {
			if len(prefixes) == maxPromptPrefixes {
				return prefixes
			}
			write(messages[index].Role)
			write(messages[index].Content)
			tokens += estimateTokens(messages[index : index+1])
			prefixes = append(prefixes, engine.PromptPrefix{Hash: digest.Sum64(), Tokens: tokens})
		}
	}
	return prefixes
}

// sharedPrefix returns the hash of the longest of the prefixes that some engine
// has cached, or 0 if there is none.
func sharedPrefix(snapshot *scheduling.Snapshot, prefixes []engine.PromptPrefix) uint64 {
	for index := len(prefixes) - 1; index >= 0; index-- {
		if len(snapshot.SharedPrefixes[prefixes[index].Hash]) > 0 {
			return prefixes[index].Hash
		}
	}
	return 0
}

// recordServed reports to the fleet that the engine now has the prefixes of the call's
// prompt cached. It does nothing if the fleet does not track prefixes.
func (r *run) recordServed(engineID string, call *program.Call) {
	if recorder, ok := r.lead.service.options.Fleet.(engine.PrefixRecorder); ok {
		recorder.RecordPrefixes(engineID, promptPrefixes(&call.Spec, r.history))
	}
}
