package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// deadlyMark is in the input of requests under which engines end.
const deadlyMark = "[deadly]"

// maxEnginesPerWork is the number of engines that may end under one piece of work.
const maxEnginesPerWork = 3

// reasonEnginesLost is the reason of a gateway that sends work to no engine since too many have ended
// under it.
const reasonEnginesLost = "engines-lost"

// wayToEnd is how engines end under a piece of work. It stands in the input of its requests.
type wayToEnd string

const (
	wayCrash   wayToEnd = "crash"   // the process ends; another instance starts elsewhere, some time later
	waySilence wayToEnd = "silence" // the machine sends nothing any more, and its entry lapses
	wayReplace wayToEnd = "replace" // the process ends, and another instance starts at its address at once
)

// ways are taken in turn by the pieces of work of a run.
var ways = [...]wayToEnd{wayCrash, waySilence, wayReplace}

// wayOf returns how engines end under the request.
func wayOf(body string) wayToEnd {
	for _, way := range ways {
		if strings.Contains(body, string(way)) {
			return way
		}
	}
	return wayCrash
}

// deadlyRun is one execution of a deadly request, which ends its engine.
type deadlyRun struct {
	prompt  string
	attempt string
	engine  string
	at      time.Time
}

func isDeadly(body string) bool { return strings.Contains(body, deadlyMark) }

// endUnder ends the instance under a deadly request: before its answer, or after the first event.
func (i *instance) endUnder(writer http.ResponseWriter, request *http.Request, id, body string) {
	i.owner.evidence.recordDeadlyRun(deadlyRun{prompt: body, attempt: id, engine: i.id, at: time.Now()})
	if i.service == serviceModel && len(body)%2 == 0 {
		writer.Header().Set("Server-Stamp", "stamp."+i.id)
		writer.Header().Set("Content-Type", mediaTypeEvents)
		writeEvent(writer, 0, eventsOf(id)[0])
	}
	i.owner.onDeadly(i, wayOf(body))
	<-request.Context().Done()
	panic(http.ErrAbortHandler)
}

// Times after the end of an instance.
const (
	entryRemovalDelay = 1500 * time.Millisecond
	replacementDelay  = 2 * time.Second
)

// replaceEnded ends an instance at once in the given way. Its entry goes later, and a new instance starts. It
// does nothing if the instance is ending already, as when two deadly requests meet there.
func (r *soakRun) replaceEnded(target *instance, way wayToEnd) {
	if target.isEnding.Swap(true) {
		return
	}
	endFault := r.calm.beginFault()
	defer endFault()
	switch way {
	case waySilence:
		target.fallSilent()
		defer target.close()
	case wayReplace:
		address := target.link.Address()
		target.close()
		if r.engines.add(target.service, address) != nil { // another process may have taken the port
			r.startInstance(target.service)
		}
	case wayCrash:
		target.close()
	}
	time.Sleep(entryRemovalDelay)
	target.removeEntry()
	if way == wayReplace {
		return
	}
	time.Sleep(replacementDelay - entryRemovalDelay)
	r.startInstance(target.service)
}

func (r *soakRun) startInstance(service string) {
	if err := r.engines.add(service, "127.0.0.1:0"); err != nil {
		r.evidence.addFinding("engines: %v", err)
	}
}

const (
	maxTimeBetweenDeadly = 3 * time.Second
	deadlyAttempts       = 9
	maxDeadlyPauseMS     = 150         // between two attempts at one piece of work
	silencePatience      = time.Second // for an attempt whose engine may fall silent
	overlapOneIn         = 3           // one in this number of deadly requests is sent twice at a time
)

// sendDeadly sends requests under which engines end, one piece of work after the other, until ctx is done.
func (r *soakRun) sendDeadly(ctx context.Context, random *rand.Rand) {
	const callerNumber = 1000
	sender := newCaller(r, callerNumber, random)
	// Mostly turns, since the other services have two instances each.
	kinds := []requestKind{kindRecorded, kindRecorded, kindPlain, kindPlain, kindSafe, kindUnsafe}
	for number := 0; ctx.Err() == nil; number++ {
		sender.sleep(ctx, sender.drawInt(int(maxTimeBetweenDeadly.Milliseconds())))
		way := ways[(uint64(number)+r.options.Seed)%uint64(len(ways))]
		prompt := fmt.Sprintf("%s %s %d", deadlyMark, way, number)
		prompt += strings.Repeat("x", (len(prompt)+number)%2) // by its length engines end before or within the answer
		kind := kinds[sender.drawInt(len(kinds))]
		copies := 1
		if sender.drawInt(overlapOneIn) == 0 {
			copies = 2
		}
		for attemptNumber := 0; attemptNumber < deadlyAttempts && ctx.Err() == nil; attemptNumber += copies {
			var sending sync.WaitGroup
			for range copies {
				a := sender.newAttempt(kind)
				a.isDeadly, a.input, a.prompt = true, prompt, prompt
				if way == waySilence {
					a.patience = silencePatience
				}
				if kind == kindRecorded || kind == kindPlain {
					a.program, a.budget, a.maxTokens = fmt.Sprint("deadly-", number), 100*maxTokensPerTurn, maxTokensPerTurn
				}
				sending.Go(func() { sender.send(a) })
			}
			sending.Wait()
			sender.sleep(ctx, sender.drawInt(maxDeadlyPauseMS))
		}
	}
}

func (e *evidence) recordDeadlyRun(run deadlyRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.deadlyRuns = append(e.deadlyRuns, run)
}

// deadlySettling is how long the daemons may need after a fault until all of them know what was missed.
const deadlySettling = 5 * time.Second

// checkDeadly checks that a deadly request reaches no engine after maxEnginesPerWork have ended under it,
// if no daemon was disturbed meanwhile. Attempts that were under way then are not counted, and neither are
// engines that were draining: a gateway may take their end for the planned one.
func (e *evidence) checkDeadly(known map[string]*attempt) (findings []string) {
	byPrompt := map[string][]deadlyRun{}
	for _, run := range e.deadlyRuns {
		byPrompt[run.prompt] = append(byPrompt[run.prompt], run)
	}
	for prompt, runs := range byPrompt {
		slices.SortFunc(runs, func(a, b deadlyRun) int { return a.at.Compare(b.at) })
		firstRuns := firstRunAtEach(slices.DeleteFunc(slices.Clone(runs), e.wasDraining))
		if len(firstRuns) < maxEnginesPerWork {
			continue
		}
		third := firstRuns[maxEnginesPerWork-1].at
		for _, run := range runs {
			a := known[run.attempt]
			isLater := a != nil && a.sent.After(third)
			if isLater && !e.reachedPreviousBuild(runs, known) && e.daemonsCalm.isCalmThroughout(runs[0].at.Add(-deadlySettling), run.at) {
				findings = append(findings, fmt.Sprintf("engines: %s reached %s after %d engines had ended under %q", run.attempt, run.engine, maxEnginesPerWork, prompt))
			}
		}
	}
	return findings
}

// firstRunAtEach returns the first run at each engine. Attempts that overlap may reach the same one.
func firstRunAtEach(runs []deadlyRun) (first []deadlyRun) {
	for _, run := range runs {
		if !slices.ContainsFunc(first, func(earlier deadlyRun) bool { return earlier.engine == run.engine }) {
			first = append(first, run)
		}
	}
	return first
}

// wasDraining reports whether the engine of a run had begun to leave before the run.
func (e *evidence) wasDraining(run deadlyRun) bool {
	life := e.lifetimes[run.engine]
	return life != nil && !life.until.IsZero() && life.until.Before(run.at)
}

// reachedPreviousBuild reports whether a gateway of the previous build, which keeps no bound, may have
// sent one of the runs.
func (e *evidence) reachedPreviousBuild(runs []deadlyRun, known map[string]*attempt) bool {
	return slices.ContainsFunc(runs, func(run deadlyRun) bool { return known[run.attempt] == nil || known[run.attempt].toPreviousBuild })
}

// workKey identifies the work of an attempt as callers see it.
func (a *attempt) workKey() string {
	return strings.Join([]string{a.program, a.previous, a.path(), a.prompt}, "\x00")
}

// mayHaveReachedSilent reports whether the attempt may have been sent to an instance of the service that
// was silent already but still listed. A gateway can't tell that from one that falls silent under the
// attempt.
func (e *evidence) mayHaveReachedSilent(a *attempt, instance *lifetime) bool {
	hasNoAnswer := a.status == 0 || a.status == http.StatusBadGateway
	if !hasNoAnswer || instance.silentSince.IsZero() || instance.silentSince.After(a.ended) || !slices.Contains(servicesOf(a.kind), instance.service) {
		return false
	}
	return instance.unlistedSince.IsZero() || instance.unlistedSince.Add(schedulingSlack).After(a.sent)
}

// checkRefusedWork checks that work is refused for lost engines only if that many engines ended while they
// ran it, or were silent already when it may have been sent to them.
func (e *evidence) checkRefusedWork() (findings []string) {
	ended := map[string]map[string]bool{}
	for _, a := range e.attempts {
		if ended[a.workKey()] == nil {
			ended[a.workKey()] = map[string]bool{}
		}
		for _, each := range e.executions[a.id] {
			// An instance that drains may end before that is over.
			life := e.lifetimes[each.instance]
			if life != nil && !life.until.IsZero() && !life.until.After(a.ended.Add(schedulingSlack)) {
				ended[a.workKey()][each.instance] = true
			}
		}
		for id, life := range e.lifetimes {
			if e.mayHaveReachedSilent(a, life) {
				ended[a.workKey()][id] = true
			}
		}
	}
	for _, a := range e.attempts {
		if a.reason == reasonEnginesLost && len(ended[a.workKey()]) < maxEnginesPerWork {
			findings = append(findings, fmt.Sprintf("engines: %s (%s) was refused, but %d engines ended under its work", a.id, a.kind, len(ended[a.workKey()])))
		}
	}
	return findings
}
