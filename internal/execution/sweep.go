package execution

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/program"
)

// liveWindow is how long after its last activity a program without an unfinished
// call still counts as live. The cached tokens of live programs can delay the first
// calls of new programs, so liveWindow must be much shorter than the time for
// which such a call may wait.
const liveWindow = 15 * time.Second

// sweepAll starts a sweep of each shard that this daemon leads, unless the
// shard's last sweep is still running.
func (s *Service) sweepAll() {
	for _, lead := range *s.leaderships.Load() {
		if lead.sweeping.CompareAndSwap(false, true) {
			s.goroutines.Go(lead.sweep)
		}
	}
}

// sweep updates the count of live tokens, resumes calls without a run, cancels
// calls of ended programs, ends expired programs, and deletes ended programs
// whose retention time has passed.
func (l *leadership) sweep() {
	defer l.sweeping.Store(false)
	tokens := l.shard.LiveTokens(time.Now().Add(-liveWindow))
	l.liveTokens.Store(&tokens)
	l.resumeCalls()
	l.cancelEnded()
	now := time.Now().UTC()
	for _, expiry := range l.shard.ExpiredPrograms(now) {
		if !l.proposeFromSweep(program.Command{Kind: program.CommandEnd, Program: expiry.Program, Reason: expiry.Reason}) {
			return
		}
	}
	limits := &l.service.limits
	if before, found := l.shard.RetentionCutoff(now.Add(-limits.Retention), limits.MaxEndedPrograms); found {
		l.proposeFromSweep(program.Command{Kind: program.CommandForget, Before: before})
	}
}

// cancelEnded cancels the unfinished calls of ended programs. It is needed for
// programs ended by a command whose result this daemon did not receive.
func (l *leadership) cancelEnded() {
	for _, activeRun := range l.allRuns() {
		_, head, found := activeRun.call()
		if found && head.State == program.ProgramEnded {
			activeRun.cancel(errProgramEnded)
		}
	}
}

// proposeFromSweep proposes a command and reports whether it committed. If it
// returns false, the remaining commands are left to the next sweep.
func (l *leadership) proposeFromSweep(command program.Command) bool {
	_, err := l.propose(l.ctx, command)
	return err == nil
}
