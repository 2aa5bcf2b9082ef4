package replay

import (
	"context"
	"fmt"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// checkLeavingBackEnds checks that a leaving back end receives no request later than
// Bounds.Leaving after it was marked as leaving or drained.
func (e *evidence) checkLeavingBackEnds() []string {
	var findings []string
	for _, backEnd := range e.leaving {
		lastAllowedMS := backEnd.since.Add(e.trace.Bounds.Leaving).UnixMilli()
		for _, request := range e.records.arrivals {
			if request.backEnd == backEnd.name && request.arrivedMS > lastAllowedMS {
				findings = append(findings, fmt.Sprintf("%s got call %s %d ms after it began to leave",
					backEnd.name, request.call, request.arrivedMS-backEnd.since.UnixMilli()))
			}
		}
	}
	return findings
}

// checkPlannedStops checks that gracefully stopped daemons exited with code 0 and, if the
// trace has no other faults, that no stream was cut or ended with an error.
func (e *evidence) checkPlannedStops() []string {
	findings := append([]string(nil), e.stopFailures...)
	onlyStops := true
	for _, fault := range e.trace.Faults {
		onlyStops = onlyStops && fault.Do == ActionStop
	}
	if cut := e.streams.incomplete.Load(); onlyStops && cut > 0 {
		findings = append(findings, fmt.Sprintf("%d streams were cut", cut))
	}
	if failed := e.streams.failed.Load(); onlyStops && failed > 0 {
		findings = append(findings, fmt.Sprintf("%d streams ended with an error", failed))
	}
	return findings
}

// checkConfiguration checks that exactly one of several concurrent changes was
// accepted, that changes are linearizable, that no daemon went back to an earlier
// revision, and that every daemon serves the last accepted revision within
// Bounds.Configuration.
func (e *evidence) checkConfiguration(ctx context.Context) []string {
	var findings []string
	var accepted uint64
	for _, race := range e.races {
		if len(race.accepted) != 1 {
			findings = append(findings, fmt.Sprintf("of %d concurrent changes to the same revision, %d were accepted, expected 1", race.operators, len(race.accepted)))
		}
		for _, revision := range race.accepted {
			accepted = max(accepted, revision)
			findings = append(findings, e.checkInForce(revision, race.acceptedAt)...)
		}
	}
	e.logPropagationTimes()
	findings = append(findings, checkLinearizable(e.changes)...)
	findings = append(findings, e.checkMonotonicRevisions()...)
	return append(findings, e.awaitInForce(ctx, accepted)...)
}

// checkMonotonicRevisions checks that the confirmed revision of a machine never
// decreases.
func (e *evidence) checkMonotonicRevisions() []string {
	var findings []string
	highest := map[string]uint64{}
	for _, sample := range e.observer.copySamples() {
		if sample.confirmed && sample.revision < highest[sample.machine] {
			findings = append(findings, fmt.Sprintf("%s went back from revision %d to %d", sample.machine, highest[sample.machine], sample.revision))
		}
		if sample.confirmed {
			highest[sample.machine] = max(highest[sample.machine], sample.revision)
		}
	}
	return findings
}

// checkInForce checks that no daemon serves a lower revision than the given one once
// Bounds.Configuration has passed since acceptedAt. A daemon serves the revision that it
// reports as confirmed.
func (e *evidence) checkInForce(revision uint64, acceptedAt time.Time) []string {
	var findings []string
	for _, sample := range e.observer.copySamples() {
		late := sample.requestedAt.After(acceptedAt.Add(e.trace.Bounds.Configuration))
		if late && sample.confirmed && sample.revision < revision {
			findings = append(findings, fmt.Sprintf("%s still serves revision %d, %s after %d was accepted",
				sample.machine, sample.revision, sample.requestedAt.Sub(acceptedAt).Round(time.Second), revision))
		}
	}
	return findings
}

// logPropagationTimes logs, for each accepted revision, how long after its
// acceptance a daemon last served an earlier one.
func (e *evidence) logPropagationTimes() {
	for _, race := range e.races {
		for _, revision := range race.accepted {
			var longest time.Duration
			for _, sample := range e.observer.copySamples() {
				if sample.confirmed && sample.revision < revision {
					longest = max(longest, sample.requestedAt.Sub(race.acceptedAt))
				}
			}
			e.progress("replay: revision %d: an earlier one was last served %s after its acceptance.", revision, longest.Round(time.Millisecond))
		}
	}
}

// awaitInForce waits, at most for Bounds.Configuration, until every running daemon has
// confirmed the accepted revision or a later one. It returns a finding for each daemon
// that has not.
func (e *evidence) awaitInForce(ctx context.Context, accepted uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, e.trace.Bounds.Configuration)
	defer cancel()
	var findings []string
	for _, daemon := range e.fleet.Daemons {
		if !daemon.IsRunning() {
			continue
		}
		for {
			status, err := e.fleet.Status(ctx, daemon)
			if err == nil && status.ConfigurationConfirmed && status.ConfigurationRevision >= accepted {
				break
			}
			if !sleep(ctx, retryInterval) {
				findings = append(findings, fmt.Sprintf("%s does not confirm revision %d: %v", daemon.Name, accepted, err))
				break
			}
		}
	}
	return findings
}

// awaitMemoryReleased waits, at most for Bounds.Memory, until engines hold memory only
// for programs that have not ended. If they still hold other memory, it returns a finding
// for each engine and ended program.
func (e *evidence) awaitMemoryReleased(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, e.trace.Bounds.Memory)
	defer cancel()
	alive := map[identity.Program]bool{}
	for _, p := range e.programs {
		alive[p.id] = p.Abandon && p.Ends == ""
	}
	for {
		findings := e.findUnreleasedMemory(alive)
		if len(findings) == 0 || !sleep(ctx, retryInterval) {
			return findings
		}
	}
}

func (e *evidence) findUnreleasedMemory(alive map[identity.Program]bool) []string {
	var findings []string
	for _, engine := range e.fleet.Engines {
		for _, held := range engine.Held() {
			if !alive[identity.Program(held.Program)] {
				findings = append(findings, fmt.Sprintf("%s holds %d tokens for %s, which has ended", engine.Name, held.Tokens, held.Program))
			}
		}
	}
	return findings
}
