package stored

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/state"
)

const (
	changeTimeout    = 10 * time.Second // of a change whose caller names no deadline
	unavailableRetry = time.Second      // what a refused caller is told to wait
)

// Change is part of configuration.Administrator. The change is decided on the
// state that the store holds, and counts once its commit is acknowledged. A
// commit without an answer is told by the next reading: the state remembers
// the changes' identifiers.
func (s *Service) Change(parent context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	schedule := pause.NewBackoff(readPause, time.Second)
	uncertain := false
	for {
		result, err := s.tryChange(ctx, change)
		if err == nil {
			return result, nil
		}
		uncertain = uncertain || errors.Is(err, state.ErrUnknownOutcome)
		if !pause.Sleep(ctx, schedule.NextBackOff()) {
			return configuration.ChangeResult{}, undecided(err, uncertain)
		}
	}
}

func withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	if _, found := parent.Deadline(); found {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, changeTimeout)
}

// undecided is the error of a change whose time was over.
func undecided(err error, uncertain bool) error {
	if uncertain {
		return errors.Join(configuration.ErrChangeUncertain, err)
	}
	return problem.New(problem.KindUnavailable, "change the configuration", "%v", err).
		WithOutcome(problem.OutcomeNotRun).WithRetryAfter(unavailableRetry)
}

// tryChange decides once. An error says that it has to be decided again.
func (s *Service) tryChange(ctx context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	machine, row, err := s.read(ctx)
	if err != nil {
		return configuration.ChangeResult{}, err
	}
	change.At = time.Now()
	command, err := configuration.EncodeChange(machine.Current().Reduced(change))
	if err != nil {
		return configuration.ChangeResult{Revision: machine.Current().Revision, Faults: []string{err.Error()}}, nil //nolint:nilerr // told in the result
	}
	before := machine.Current().Revision
	result, good := machine.Apply(0, command).(*configuration.ChangeResult)
	if !good {
		return configuration.ChangeResult{}, eris.New("the machine of the configuration gave no result")
	}
	if machine.Current().Revision == before {
		return *result, s.check(ctx, row) // a reading may be behind, a condition never is
	}
	if err := s.write(ctx, row, machine); err != nil {
		return configuration.ChangeResult{}, err
	}
	s.known.Store(max(s.known.Load(), machine.Current().Revision))
	s.adopt(machine)
	return *result, nil
}

// check proves that the head is still the newest.
func (s *Service) check(ctx context.Context, row state.Row) error {
	_, err := s.options.Store.Commit(ctx, state.Commit{Class: state.ClassLease, Conditions: []state.Condition{{Key: headKey, Version: row.Version}}})
	return eris.Wrap(err, "check the head of the configuration")
}

// History is part of configuration.Administrator.
func (s *Service) History(parent context.Context, limit int) ([]configuration.Revision, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	machine, _, err := s.read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	return machine.History(limit), nil
}
