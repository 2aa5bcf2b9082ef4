package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// addition is a route or a key that one configuration adds. Later configurations contain it until
// additionLifetime of them have followed.
type addition struct {
	configuration int  // index of the configuration that adds it
	isKey         bool // a key of the unlimited tenant; otherwise a route
}

const (
	additionLifetime = 4 // number of successive configurations that contain an addition
	// probeInterval is the time between two requests that test additions.
	probeInterval = 20 * time.Millisecond
	// maxProbedAge is how many configurations before the newest one a probed addition may come
	// from. It includes additions that have been removed again.
	maxProbedAge = additionLifetime + 2
)

func (a addition) path() string {
	if a.isKey {
		return pathUnsafe
	}
	return fmt.Sprintf("/added-%d/", a.configuration)
}

func (a addition) key() string {
	if a.isKey {
		return fmt.Sprintf("key-%d", a.configuration)
	}
	return keyUnlimited
}

// isIn reports whether the configuration with the index contains the addition.
func (a addition) isIn(configuration int) bool {
	return configuration >= a.configuration && configuration < a.configuration+additionLifetime
}

// addedRoutes returns the added routes that the configuration with the index contains.
func addedRoutes(configuration int, newRoute func(name, prefix string) routeRow) []routeRow {
	var routes []routeRow
	for index := max(0, configuration-additionLifetime+1); index <= configuration; index++ {
		routes = append(routes, newRoute(fmt.Sprintf("added-%d", index), addition{configuration: index}.path()))
	}
	return routes
}

// addedKeys returns the added keys that the configuration with the index contains.
func addedKeys(configuration int) []string {
	var keys []string
	for index := max(0, configuration-additionLifetime+1); index <= configuration; index++ {
		keys = append(keys, addition{configuration: index, isKey: true}.key())
	}
	return keys
}

// probeAdditions sends requests that need a recent addition to random gateways, until ctx is done
// and all requests have ended.
func (r *soakRun) probeAdditions(ctx context.Context, random *rand.Rand) {
	var requests sync.WaitGroup
	probing := newCaller(r, r.options.Callers+2, random)
	for ctx.Err() == nil {
		a := probing.newAttempt(kindAdded)
		newest := r.evidence.countConfigurations() - 1
		a.addition = addition{configuration: max(0, newest-probing.drawInt(maxProbedAge+1)), isKey: probing.drawInt(2) == 0}
		a.input, a.prompt = "added", "added"
		requests.Go(func() { probing.send(a) })
		probing.sleep(ctx, int(probeInterval.Milliseconds()))
	}
	requests.Wait()
}

// checkAddition checks that a request which needs an addition is served as one of the
// configurations says that may be in force.
func (e *evidence) checkAddition(a *attempt) []string {
	if a.kind != kindAdded {
		return nil
	}
	containing, others := 0, 0
	for _, configuration := range e.possibleConfigurations(a.sent, a.ended) {
		if a.addition.isIn(configuration) {
			containing++
		} else {
			others++
		}
	}
	denied := a.isDenied()
	executed := len(e.executions[a.id]) > 0
	switch {
	case denied && others == 0:
		return []string{fmt.Sprintf("configuration: %s got status %d at g%d, although every configuration that may be in force contains %+v", a.id, a.status, a.gateway, a.addition)}
	case executed && containing == 0:
		return []string{fmt.Sprintf("configuration: %s was executed for g%d, although no configuration that may be in force contains %+v", a.id, a.gateway, a.addition)}
	default:
		return nil
	}
}

// isDenied reports whether the configuration was the reason for the answer.
func (a *attempt) isDenied() bool {
	return a.status == http.StatusNotFound || a.status == http.StatusUnauthorized
}

// checkDenialAge checks that no request is denied by a configuration that had been replaced for more
// than configurationBound when the request was sent, whatever faults are active.
func (e *evidence) checkDenialAge(a *attempt) []string {
	if a.kind != kindAdded || !a.isDenied() || a.toPreviousBuild {
		return nil
	}
	oldest := a.sent.Add(-configurationBound)
	for index, each := range e.configurations {
		replaced := index+1 < len(e.configurations) && e.configurations[index+1].acknowledged.Before(oldest)
		if !replaced && !each.sent.After(a.ended) && !a.addition.isIn(index) {
			return nil
		}
	}
	return []string{fmt.Sprintf("configuration: %s got status %d at g%d, although every configuration of the last %s contains %+v", a.id, a.status, a.gateway, configurationBound, a.addition)}
}

// checkDenial checks that no request gets status 401 whose key all configurations contain.
func checkDenial(a *attempt) []string {
	if a.kind != kindAdded && a.status == http.StatusUnauthorized {
		return []string{fmt.Sprintf("denied: %s (%s) got status 401, although all configurations contain its key", a.id, a.kind)}
	}
	return nil
}
