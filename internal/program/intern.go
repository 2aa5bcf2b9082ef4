package program

// maxInterned is the maximum number of interned strings. A deployment has fewer
// machines, engines and models; further strings are kept but not interned.
const maxInterned = 4096

// interner stores one copy of each short string that recurs in commands, such as
// engine names. This saves memory because decoding a command allocates new
// strings.
type interner map[string]string

// intern replaces *value by the stored copy of an equal string. It stores the
// string first if there is none and the table is not full.
func intern[S ~string](names interner, value *S) {
	if *value == "" {
		return
	}
	if known, ok := names[string(*value)]; ok {
		*value = S(known)
		return
	}
	if len(names) < maxInterned {
		names[string(*value)] = string(*value)
	}
}

func (names interner) command(command *Command) {
	intern(names, &command.Tenant)
	intern(names, &command.Class)
	names.spec(&command.Call)
	names.attempt(&command.Attempt)
	names.answer(command.Answer)
}

func (names interner) aggregate(program *aggregate) {
	intern(names, &program.Tenant)
	intern(names, &program.Class)
	intern(names, &program.State)
	for _, call := range program.Calls {
		intern(names, &call.State)
		names.spec(&call.Spec)
		names.answer(call.Answer)
		for i := range call.Attempts {
			names.attempt(&call.Attempts[i])
		}
	}
}

func (names interner) spec(spec *CallSpec) {
	intern(names, &spec.Target)
	intern(names, &spec.Name)
	intern(names, &spec.Adapter)
	intern(names, &spec.Operation)
	for i := range spec.Messages {
		intern(names, &spec.Messages[i].Role)
	}
}

func (names interner) attempt(attempt *Attempt) {
	intern(names, &attempt.Process.Machine)
	intern(names, &attempt.Process.Address)
	intern(names, &attempt.Process.Zone)
	intern(names, &attempt.Process.Region)
	intern(names, &attempt.BackEnd)
	intern(names, &attempt.Address)
}

func (names interner) answer(answer *Answer) {
	if answer == nil {
		return
	}
	intern(names, &answer.Engine)
	intern(names, &answer.FinishReason)
}
