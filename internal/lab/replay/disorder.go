package replay

import (
	"context"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/problem"
)

// disorderSubmitter submits the calls of a program early and once more at the end,
// besides their regular submissions. It does so only for programs that are marked
// Disorder.
type disorderSubmitter struct {
	run     *run
	p       *programRun
	calls   []Call
	pending sync.WaitGroup
}

// submitEarly starts a goroutine that submits the call with the given index, from 0,
// before its turn. It repeats the submission until the call is no longer rejected as
// out of order, then waits for the final outcome and records it.
func (d *disorderSubmitter) submitEarly(ctx context.Context, index int) {
	if !d.p.Disorder || index >= len(d.calls) {
		return
	}
	submission := d.newSubmission(index)
	d.pending.Go(func() {
		for {
			_, err := submission.attempt(ctx)
			var problemErr *problemError
			if !eris.As(err, &problemErr) || problemErr.document.Title != problem.KindOutOfOrder {
				break
			}
			d.p.earlyRejections.Add(1)
			if !sleep(ctx, retryInterval) {
				return
			}
		}
		d.recordDuplicate(index, submission.finish(ctx))
	})
}

// resubmitAll submits all calls once more, and waits for the results of these and
// of the early submissions.
func (d *disorderSubmitter) resubmitAll(ctx context.Context) {
	if !d.p.Disorder {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.run.trace.Bounds.Caller)
	defer cancel()
	for index := range d.p.results {
		submission := d.newSubmission(index)
		d.pending.Go(func() { d.recordDuplicate(index, submission.finish(ctx)) })
	}
	d.pending.Wait()
}

func (d *disorderSubmitter) newSubmission(index int) *submission {
	caller := newCaller(d.run.fleet, d.p.Tenant, index)
	return &submission{caller: caller, streams: &d.run.streams, program: d.p.id, sequence: uint64(index + 1), body: requestOf(d.calls[index])}
}

func (d *disorderSubmitter) recordDuplicate(index int, outcome result) {
	d.run.mutex.Lock()
	defer d.run.mutex.Unlock()
	d.p.duplicates = append(d.p.duplicates, duplicateResult{index: index, outcome: outcome})
}

// duplicateResult is the result of an early or repeated submission of a call.
type duplicateResult struct {
	index   int
	outcome result
}

// checkDuplicates checks that all submissions of a call got the same result and, if the
// program is marked Disorder, that at least one early submission was rejected as out of
// order.
func checkDuplicates(p *programRun) []string {
	var findings []string
	for _, duplicate := range p.duplicates {
		if duplicate.index >= len(p.results) {
			continue
		}
		regular := p.results[duplicate.index]
		if duplicate.outcome.state != regular.state || !isSameAnswer(duplicate.outcome.answer, regular.answer) {
			findings = append(findings, fmt.Sprintf("%s call %d: submissions differ in outcome (%s, %s) or answer", p.name, duplicate.index+1, regular.state, duplicate.outcome.state))
		}
	}
	if p.Disorder && p.err == nil && p.earlyRejections.Load() == 0 {
		findings = append(findings, p.name+": no early submission was rejected as out of order")
	}
	return findings
}
