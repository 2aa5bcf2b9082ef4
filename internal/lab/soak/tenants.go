package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Parameters of the two tenants. The programs of callers belong to the unlimited
// tenant; the limited one sends about ten times as many requests as its quota allows.
const (
	keyUnlimited = "key-of-the-unlimited"
	keyLimited   = "key-of-the-limited"

	quotaWindow    = 5 * time.Second
	quotaPerSecond = 10 // requests
	quotaBurst     = 10 // requests
	// A window may exceed the quota by this share and this number of requests.
	toleranceShare    = 0.1
	toleranceRequests = 5
	// limitedRequestInterval is the time between two requests of the limited tenant.
	limitedRequestInterval = time.Second / quotaPerSecond / 10
)

// maxRequestsInWindow limits the requests of the limited tenant that are executed in any
// window of quotaWindow.
const maxRequestsInWindow = (quotaPerSecond*int(quotaWindow/time.Second)+quotaBurst)*(100+int(100*toleranceShare))/100 + toleranceRequests

type tenantRow struct {
	Name      string   `json:"name"`
	Keys      []string `json:"api_keys"`
	PerSecond float64  `json:"rate_per_s,omitempty"`
	Burst     int      `json:"burst,omitempty"`
}

// tenantRows returns the tenants of the configuration with the index.
func tenantRows(configuration int) []tenantRow {
	return []tenantRow{
		{Name: "unlimited", Keys: append(addedKeys(configuration), keyUnlimited)},
		{Name: "limited", Keys: []string{keyLimited}, PerSecond: quotaPerSecond, Burst: quotaBurst},
	}
}

// exceedQuota sends about ten times as many requests of the limited tenant as its quota
// allows, to all gateways, without waiting for answers. It returns when ctx is done and
// all requests have ended.
func (r *soakRun) exceedQuota(ctx context.Context, random *rand.Rand) {
	var requests sync.WaitGroup
	limited := newCaller(r, r.options.Callers+1, random)
	for ctx.Err() == nil {
		a := limited.newAttempt(kindSafe)
		a.limited, a.input, a.prompt = true, "pressed", "pressed"
		requests.Go(func() { limited.send(a) })
		limited.sleep(ctx, int(limitedRequestInterval.Milliseconds()))
	}
	requests.Wait()
}

// checkQuota checks that no window of quotaWindow contains more than maxRequestsInWindow
// requests of the limited tenant that were both sent and executed in it, whatever faults
// were active.
func (e *evidence) checkQuota() []string {
	type executedRequest struct{ sent, startedAt time.Time }
	var executed []executedRequest
	for _, a := range e.attempts {
		for _, request := range e.executions[a.id] {
			if a.limited {
				executed = append(executed, executedRequest{a.sent, request.startedAt})
			}
		}
	}
	slices.SortFunc(executed, func(a, b executedRequest) int { return a.sent.Compare(b.sent) })
	for start := range executed {
		count := 0
		for _, request := range executed[start:] {
			if request.startedAt.Sub(executed[start].sent) <= quotaWindow {
				count++
			}
		}
		if count > maxRequestsInWindow {
			return []string{fmt.Sprintf("quota: %d requests were sent and executed within %s, limit %d", count, quotaWindow, maxRequestsInWindow)}
		}
	}
	return nil
}
