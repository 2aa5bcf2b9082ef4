package program

// maxInterned is the maximum number of interned strings. A deployment has fewer
// machines, engines and models; further strings are stored but not interned.
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
	if copied, ok := names[string(*value)]; ok {
		*value = S(copied)
		return
	}
	if len(names) < maxInterned {
		names[string(*value)] = string(*value)
	}
}

func (names interner) internCommand(command *Command) {
	intern(names, &command.Tenant)
	intern(names, &command.Class)
	names.internSpec(&command.Call)
	names.internAttempt(&command.Attempt)
	names.internAnswer(command.Answer)
}

func (names interner) internProgram(program *programRecord) {
	intern(names, &program.Tenant)
	intern(names, &program.Class)
	intern(names, &program.State)
	for _, call := range program.Calls {
		intern(names, &call.State)
		names.internSpec(&call.Spec)
		names.internAnswer(call.Answer)
		for i := range call.Attempts {
			names.internAttempt(&call.Attempts[i])
		}
	}
}

func (names interner) internSpec(spec *CallSpec) {
	intern(names, &spec.Target)
	intern(names, &spec.Name)
	intern(names, &spec.Adapter)
	intern(names, &spec.Operation)
	for i := range spec.Messages {
		intern(names, &spec.Messages[i].Role)
	}
}

func (names interner) internAttempt(attempt *Attempt) {
	intern(names, &attempt.Process.Machine)
	intern(names, &attempt.Process.Address)
	intern(names, &attempt.Process.Zone)
	intern(names, &attempt.Process.Region)
	intern(names, &attempt.BackEnd)
	intern(names, &attempt.Address)
}

func (names interner) internAnswer(answer *Answer) {
	if answer == nil {
		return
	}
	intern(names, &answer.Engine)
	intern(names, &answer.FinishReason)
}
