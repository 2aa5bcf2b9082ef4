package replay

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout limits the search of checkLinearizable. A search that takes
// longer counts as a violation.
const linearizabilityTimeout = 10 * time.Second

// configurationChange is one operator's attempt to change the base revision.
type configurationChange struct {
	operator int
	base     uint64
	called   time.Time
	returned time.Time
	outcome  changeOutcome
}

// changeOutcome is the outcome of a change as the operator observed it.
type changeOutcome struct {
	revision uint64 // made by the change; 0: rejected because another change came first, or unknown
	unknown  bool   // the change may or may not have been accepted
}

// revisionModel models the revision as a register. A change is accepted only if
// its base is the current revision, and increments it.
var revisionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, base, outcome := state.(uint64), input.(uint64), output.(changeOutcome)
		if current == 0 {
			current = base // the revision before the first recorded change is not known
		}
		accepted := current == base
		switch {
		case outcome.unknown && accepted:
			return []any{current, current + 1}
		case outcome.unknown:
			return []any{current}
		case outcome.revision != 0 && accepted && outcome.revision == base+1:
			return []any{outcome.revision}
		case outcome.revision == 0 && !accepted:
			return []any{current}
		default:
			return nil
		}
	},
}

// checkLinearizable checks that the changes took effect one after the other, each
// at some time between its call and its return.
func checkLinearizable(changes []configurationChange) []string {
	var history []porcupine.Operation
	for _, change := range changes {
		history = append(history, porcupine.Operation{
			ClientId: change.operator,
			Input:    change.base,
			Call:     change.called.UnixNano(),
			Output:   change.outcome,
			Return:   change.returned.UnixNano(),
		})
	}
	if porcupine.CheckOperationsTimeout(revisionModel.ToModel(), history, linearizabilityTimeout) == porcupine.Ok {
		return nil
	}
	return []string{"the operators' changes are not linearizable"}
}
