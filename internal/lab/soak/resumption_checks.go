package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// listDelay is how long an instance serves before every gateway that has a confirmed list knows it.
const listDelay = 5 * time.Second

// checkResumptions checks what became of streams that callers took up.
func (e *evidence) checkResumptions() []string {
	var findings []string
	for _, a := range e.attempts {
		if a.kind.mayBeTakenUp() {
			findings = append(findings, e.checkOneVersion(a)...)
		}
	}
	return append(findings, e.checkResumedShare()...)
}

// checkOneVersion checks that a stream has events of engines of one software version, over all
// attempts of its caller, and that no engine of another version ran an attempt to continue it. An
// earlier build, which may have taken the stream up, did not keep this.
func (e *evidence) checkOneVersion(a *attempt) []string {
	versions := a.versions()
	if len(versions) > 1 {
		return []string{fmt.Sprintf("stream: %s has events of versions %v in one answer", a.id, versions)}
	}
	if a.began == nil || a.toPreviousBuild {
		return nil
	}
	for _, each := range e.executions[a.id] {
		versions = append(versions, each.version)
	}
	began := a.began.versions()
	if slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(began, version) }) {
		return []string{fmt.Sprintf("stream: %s began at version %v with %s, and went on at version %v (origin named: %t, gateway g%d)",
			a.id, began, a.began.id, versions, a.namesOrigin, a.gateway)}
	}
	return nil
}

// Reasons of a gateway for which a stream cannot go on, so that trying again does not help.
const (
	reasonUnknownOrigin = "unknown-origin"
	reasonOriginGone    = "origin-gone"
	// reasonUnknownBeginning means that the events of a recorded stream which its caller has are not known.
	reasonUnknownBeginning = "unknown-beginning"
)

// isFinalRefusal reports whether a refusal rightly has no retry delay: too many engines have ended under
// the work (see checkRefusedWork), or a stream cannot be continued, since no engine of the version that
// began it is left, or the origin is not known and several versions have served.
func (e *evidence) isFinalRefusal(a *attempt) bool {
	if a.reason == reasonEnginesLost {
		return true
	}
	if a.began == nil {
		return false
	}
	switch a.reason {
	case reasonOriginGone:
		return e.enginesThroughout(a.began.versions(), a) == 0
	case reasonUnknownBeginning:
		return a.kind == kindContinued && e.mayHaveLostBeginning(a)
	case reasonUnknownOrigin:
		return len(e.versionsServed(a.ended)) > 1
	default:
		return false
	}
}

// mayHaveLostBeginning reports whether the events that the caller has may be unknown to all gateways: one
// was disturbed, or cut off from others, since the stream began, or an earlier build served a part of it.
// On a machine that stalls, gateways may also not have heard of the events in time.
func (e *evidence) mayHaveLostBeginning(a *attempt) bool {
	isCalm := e.daemonsCalm.isCalmThroughout(a.began.sent.Add(-contactTimeout), a.ended)
	return !isCalm || a.toPreviousBuild || a.began.toPreviousBuild || e.skipTimingChecks
}

// enginesThroughout returns the number of engines of the versions that served throughout the attempt,
// and long enough before to be known everywhere.
func (e *evidence) enginesThroughout(versions []string, a *attempt) (count int) {
	for _, each := range e.lifetimes {
		if each.service == serviceModel && slices.Contains(versions, each.version) && each.covers(a.sent.Add(-listDelay), a.ended) {
			count++
		}
	}
	return count
}

// versionsServed returns the software versions of the engines that had started by then.
func (e *evidence) versionsServed(until time.Time) (versions []string) {
	for _, each := range e.lifetimes {
		if each.service == serviceModel && each.from.Before(until) && !slices.Contains(versions, each.version) {
			versions = append(versions, each.version)
		}
	}
	return versions
}

// Bounds of checkResumedShare, as the users state them.
const (
	minResumptions   = 12
	minEnginesToGoOn = 2
	minResumedShare  = 0.5 // of the share of new streams that begin
)

// shareCount counts attempts and those of them that got a stream.
type shareCount struct{ all, served int }

func (s *shareCount) add(a *attempt) {
	s.all++
	if a.status == http.StatusOK {
		s.served++
	}
}

func (s *shareCount) share() float64 { return float64(s.served) / float64(max(s.all, 1)) }

// mayGoOn reports whether gateways can know the version that began the stream: its origin is told and
// named, or all engines run one version and that has been recorded for longer than a stream lasts. An
// earlier build tells no origin.
func (e *evidence) mayGoOn(a *attempt) bool {
	if a.namesOrigin && !a.began.toPreviousBuild {
		return true
	}
	isOldEnough := !e.versionsSince.IsZero() && a.sent.After(e.versionsSince.Add(maxStreamAge))
	return isOldEnough && len(e.versionsServed(a.ended)) == 1
}

// maxStreamAge is the time after which a gateway takes the recorded versions of engines for complete:
// twice the route's timeout, and 2 s for differences of clocks.
const maxStreamAge = 2*routeTimeout + 2*time.Second

// checkResumedShare checks that streams which are taken up and may go on do so at least half as often as
// new ones begin, while two engines of their version serve. Attempts at gateways that are not in touch or
// of an earlier build, or whose budget was used up, do not count.
func (e *evidence) checkResumedShare() []string {
	var begun, resumed shareCount
	for _, a := range e.attempts {
		switch {
		case a.kind != kindResumable || !a.inTouch || a.toPreviousBuild || a.status == http.StatusPaymentRequired:
		case a.began == nil:
			begun.add(a)
		case e.enginesThroughout(a.began.versions(), a) < minEnginesToGoOn:
		case e.mayGoOn(a):
			resumed.add(a)
		}
	}
	if resumed.all >= minResumptions && resumed.share() < minResumedShare*begun.share() {
		return []string{fmt.Sprintf("resumption: %d of %d streams went on, but %d of %d new ones began", resumed.served, resumed.all, begun.served, begun.all)}
	}
	return nil
}
