package answer

// Ending is what is known about the end of an answer that is no longer read. The zero value claims least.
//
// All that follows from the end of an answer, such as the record of a turn or the outcome for the engine,
// depends on its Ending, so that no claim is stronger than the engine's.
type Ending uint8

// The endings.
const (
	EndingBroken   Ending = iota // not whole
	EndingUnproven               // closed where a whole answer may end, which is no proof that it is whole
	EndingProven                 // whole: a length or chunks show it
)

// EndingAt returns the ending of an answer whose body was read to its end without an error. isPartial means
// that the end lies within a part of the body, such as an event of a stream.
func (f Framing) EndingAt(isPartial bool) Ending {
	switch {
	case isPartial:
		return EndingBroken
	case f == FramingConnection:
		return EndingUnproven
	default:
		return EndingProven
	}
}

// MayBeWhole reports whether the answer is not known to be broken. Its caller, who gets the same proof, may
// take it for whole.
func (e Ending) MayBeWhole() bool { return e != EndingBroken }

// String returns the name of the ending in logs and metrics.
func (e Ending) String() string { return [...]string{"broken", "unproven", "proven"}[e] }
