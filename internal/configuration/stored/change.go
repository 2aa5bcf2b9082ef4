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
	changeTimeout         = 10 * time.Second // limit for a call whose context has no deadline
	unavailableRetryAfter = time.Second      // delay after which a caller is asked to try again
)

// Change implements configuration.Administrator. It applies the change to the state
// that it reads from the store, and commits the new state on the condition that the
// stored one has not changed meanwhile. It tries again after errors until the
// context ends, or for changeTimeout if the context has no deadline. If the store
// does not answer a commit, the next try recognizes by the change's identifier
// whether the commit was done.
func (s *Service) Change(parent context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	backoff := pause.NewBackoff(initialRetryPause, time.Second)
	uncertain := false
	for {
		result, err := s.tryChange(ctx, change)
		if err == nil {
			return result, nil
		}
		uncertain = uncertain || errors.Is(err, state.ErrUnknownOutcome)
		if !pause.Sleep(ctx, backoff.NextBackOff()) {
			return configuration.ChangeResult{}, changeError(err, uncertain)
		}
	}
}

func withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	if _, found := parent.Deadline(); found {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, changeTimeout)
}

// changeError returns the error of a change that had no result before its deadline.
// uncertain reports whether a commit of the change may have been accepted.
func changeError(err error, uncertain bool) error {
	if uncertain {
		return errors.Join(configuration.ErrChangeUncertain, err)
	}
	return problem.New(problem.KindUnavailable, "change the configuration", "%v", err).
		WithOutcome(problem.OutcomeNotRun).WithRetryAfter(unavailableRetryAfter)
}

// tryChange applies the change once. After an error the caller must try again, even
// if the commit may have been done: the next try then returns its result.
func (s *Service) tryChange(ctx context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	machine, row, err := s.read(ctx)
	if err != nil {
		return configuration.ChangeResult{}, err
	}
	change.At = time.Now()
	command, err := configuration.EncodeChange(machine.Current().ReduceChange(change))
	if err != nil {
		return configuration.ChangeResult{Revision: machine.Current().Revision, Faults: []string{err.Error()}}, nil //nolint:nilerr // told in the result
	}
	before := machine.Current().Revision
	result, ok := machine.Apply(0, command).(*configuration.ChangeResult)
	if !ok {
		return configuration.ChangeResult{}, eris.New("the configuration machine returned no result")
	}
	if machine.Current().Revision == before {
		return *result, s.verifyHead(ctx, row) // the rows that were read may be outdated
	}
	if err := s.write(ctx, row, machine); err != nil {
		return configuration.ChangeResult{}, err
	}
	s.raiseLatestKnown(machine.Current().Revision)
	s.install(machine)
	return *result, nil
}

// verifyHead returns an error if the row is not the latest version of the head row.
func (s *Service) verifyHead(ctx context.Context, row state.Row) error {
	_, err := s.options.Store.Commit(ctx, state.Commit{Class: state.ClassLease, Conditions: []state.Condition{{Key: headKey, Version: row.Version}}})
	return eris.Wrap(err, "check the head of the configuration")
}

// History implements configuration.Administrator. It reads the history from the store.
func (s *Service) History(parent context.Context, limit int) ([]configuration.Revision, error) {
	ctx, cancel := withDeadline(parent)
	defer cancel()
	machine, _, err := s.read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read the history")
	}
	return machine.History(limit), nil
}
