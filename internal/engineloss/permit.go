package engineloss

import (
	"slices"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// Permit is one attempt at a piece of work, from Exchange.Begin to Exchange.End. It is used by one
// goroutine only.
type Permit struct {
	Standing
	work     Work
	attempt  string
	grantors []members.Member // other daemons at which the attempt is registered as under way
	// isBlockedElsewhere means that another daemon knows of more engines than Standing.Ended.
	isBlockedElsewhere bool
	// isInformed means that a home has answered that has kept records for as long as they last.
	isInformed bool
}

// NewPermit returns the permit of an attempt at work that is not suspect.
func NewPermit(work Work, attempt string) *Permit { return &Permit{work: work, attempt: attempt} }

// Work returns the work of which the attempt is one.
func (p *Permit) Work() Work { return p.work }

// IsBlocked reports whether the work must be sent to no engine.
func (p *Permit) IsBlocked() bool { return p.isBlockedElsewhere || p.Standing.IsBlocked() }

// mustWait reports whether the attempt can't be sent now.
func (p *Permit) mustWait() bool { return p.IsBusy || p.IsBlocked() }

// merge adds what a daemon knows.
func (p *Permit) merge(other Standing) {
	known := record{ended: p.Ended}
	known.add(other.Ended)
	p.Ended = known.ended
	p.Missing = slices.DeleteFunc(append(p.Missing, other.Missing...), func(engine string) bool { return slices.Contains(p.Ended, engine) })
	slices.Sort(p.Missing)
	p.Missing = slices.Compact(p.Missing)
	p.IsBusy = p.IsBusy || other.IsBusy || len(p.Ended)+len(p.Missing) >= MaxEngines
}

// add adds the answer of a home, which has registered the attempt if the work is suspect.
func (p *Permit) add(home members.Member, self identity.Process, standing Standing) {
	p.merge(standing)
	isKnown := slices.ContainsFunc(p.grantors, func(other members.Member) bool { return other.Process == home.Process })
	if standing.IsSuspect() && home.Process != self && !isKnown {
		p.grantors = append(p.grantors, home)
	}
}
