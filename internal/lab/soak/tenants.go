package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The tenants of a run: one without a quota, whose programs the callers play, and one whose
// caller asks for about ten times its quota all the time.
const (
	keyUnlimited = "key-of-the-unlimited"
	keyLimited   = "key-of-the-limited"

	quotaWindow    = 5 * time.Second
	quotaPerSecond = 10
	quotaBurst     = 10
	// The tolerance is a tenth and so many requests.
	toleranceShare    = 0.1
	toleranceRequests = 5
	// pressedPause lies between two requests of the limited tenant.
	pressedPause = time.Second / quotaPerSecond / 10
)

// mostInQuota is how many requests of the limited tenant may run in any window.
const mostInQuota = (quotaPerSecond*int(quotaWindow/time.Second)+quotaBurst)*(100+int(100*toleranceShare))/100 + toleranceRequests

type tenantRow struct {
	Name      string   `json:"name"`
	Keys      []string `json:"api_keys"`
	PerSecond float64  `json:"rate_per_s,omitempty"`
	Burst     int      `json:"burst,omitempty"`
}

func tenantRows() []tenantRow {
	return []tenantRow{
		{Name: "unlimited", Keys: []string{keyUnlimited}},
		{Name: "limited", Keys: []string{keyLimited}, PerSecond: quotaPerSecond, Burst: quotaBurst},
	}
}

// pressQuota asks for far more than the limited tenant's quota, at all gateways, without waiting for answers.
func (w *world) pressQuota(ctx context.Context, random *rand.Rand) {
	pressing := newCaller(w, w.options.Callers+1, random)
	for ctx.Err() == nil {
		one := pressing.attempt(kindSafe)
		one.limited, one.input, one.prompt = true, "pressed", "pressed"
		w.pressed.Go(func() { pressing.send(one) })
		pressing.pause(ctx, int(pressedPause.Milliseconds()))
	}
	w.pressed.Wait()
}

// quotas: in any window, no more requests of the limited tenant were sent and ran than its quota allows,
// whatever happened to gateways and store.
func (e *evidence) quotas() []string {
	type moment struct{ sent, began time.Time }
	var ran []moment
	for _, one := range e.attempts {
		for _, each := range e.runs[one.id] {
			if one.limited {
				ran = append(ran, moment{one.sent, each.began})
			}
		}
	}
	slices.SortFunc(ran, func(a, b moment) int { return a.sent.Compare(b.sent) })
	for first := range ran {
		count := 0
		for _, each := range ran[first:] {
			if each.began.Sub(ran[first].sent) <= quotaWindow {
				count++
			}
		}
		if count > mostInQuota {
			return []string{fmt.Sprintf("quota: %d requests were sent and ran within %s, %d may", count, quotaWindow, mostInQuota)}
		}
	}
	return nil
}
