package program

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// LiveTokens returns for each model how many tokens live programs hold in engine
// caches for themselves alone. A program is live if it is open and either has a
// call in progress or has been active since the given time. Other open programs
// are left out because their callers may have abandoned them. The tokens of a live
// program are those of the prompt and answer of its last model call, without those
// that its first model call found cached, which are shared with other programs.
func (s *Shard) LiveTokens(activeSince time.Time) map[string]int64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	tokens := make(map[string]int64)
	for _, program := range s.programs {
		idle := program.activeCall() == nil && program.LastActive.Before(activeSince)
		if program.State != ProgramOpen || idle {
			continue
		}
		if model, own := program.ownTokens(); own > 0 {
			tokens[model] += own
		}
	}
	return tokens
}

// ownTokens returns the model of the last answered model call and the tokens that
// the program holds in caches for itself alone. It returns zero values if there
// is no such call.
func (p *programRecord) ownTokens() (model string, tokens int64) {
	var first, last *Call
	for _, call := range p.Calls {
		if call.State != CallAnswered || call.Spec.Target != TargetModel {
			continue
		}
		if first == nil {
			first = call
		}
		last = call
	}
	if last == nil {
		return "", 0
	}
	return last.Spec.Name, last.Answer.PromptTokens + last.Answer.CompletionTokens - first.Answer.CachedTokens
}

// OpenPrograms returns the number of the tenant's open programs, without
// sub-agents.
func (s *Shard) OpenPrograms(tenant identity.Tenant) int {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	count := 0
	for _, program := range s.programs {
		if program.Tenant == tenant && program.Parent == "" && program.State == ProgramOpen {
			count++
		}
	}
	return count
}

// HasCreationKey reports whether a program with the creation key exists. It returns
// false for an empty key.
func (s *Shard) HasCreationKey(tenant identity.Tenant, parent identity.Program, key string) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	_, found := s.byCreationKey[creationKey{tenant: tenant, parent: parent, key: key}]
	return key != "" && found
}
