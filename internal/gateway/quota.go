package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/quota"
)

// takeQuota takes the request's place in its tenant's quota, before its body is read.
func (e *execution) takeQuota() error {
	if e.tenant == nil {
		return nil
	}
	taken, err := e.takePlace(e.belongsToWorkUnderWay())
	e.taken = taken
	if err == nil && e.call.Program != "" {
		e.gateway.begun.note(e.scoped(e.call.Program))
	}
	return err
}

// keepersPatience is how long a request waits for a keeper of its quota to be reached: one
// that was killed is started again, and has read who keeps what, within half a second.
const keepersPatience = 500 * time.Millisecond

// takePlace takes one place, or returns *Refusal or *CutError.
func (e *execution) takePlace(underWay bool) (*quota.Taken, error) {
	request := quota.Request{Tenant: e.tenant.Name, Quota: e.tenant.Quota, Revision: e.table.Revision, UnderWay: underWay}
	ctx, cancel := context.WithTimeout(e.request.Context(), min(keepersPatience, e.storePatience()))
	defer cancel()
	taken, err := e.gateway.Quotas.Take(e.request.Context(), request)
	var unreached *quota.UnreachedError
	for errors.As(err, &unreached) && pause.For(ctx, engineRecheck) {
		taken, err = e.gateway.Quotas.Take(e.request.Context(), request)
	}
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return nil, &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, After: exceeded.After, Err: err}
	}
	if err != nil && e.request.Context().Err() != nil {
		return nil, &CutError{Reason: ReasonCallerLeft, Err: err}
	}
	if err != nil {
		return nil, notRun(ReasonQuotaUnknown, comeBackSoon, err)
	}
	return taken, nil
}

// takeForNextRun takes a place for a further run where the engine before may have run the request:
// what engines run is what a quota bounds.
func (e *execution) takeForNextRun(err error) bool {
	var lost *backend.LostError
	if e.taken == nil || !errors.As(err, &lost) {
		return true
	}
	const underWay = true
	if _, refused := e.takePlace(underWay); refused != nil {
		e.gateway.Log.Info("request: not offered again.", zap.String("request", e.call.ID), zap.String("cause", refused.Error()))
		return false
	}
	return true
}

// giveBack returns the place of a request that no engine began to run.
func (e *execution) giveBack() {
	if e.runs == 0 {
		e.taken.Return()
	}
}

// belongsToWorkUnderWay tells whether refusing the request loses what its program did
// before: it goes on from a turn, calls a tool, or its program was seen here.
func (e *execution) belongsToWorkUnderWay() bool {
	if e.call.Program == "" {
		return false
	}
	return e.call.Previous != "" || !e.service.Model || e.gateway.begun.has(e.scoped(e.call.Program))
}

// begunPrograms remembers which programs had a request admitted here lately.
type begunPrograms struct {
	seen *expirable.LRU[string, struct{}]
}

// How many programs are remembered, and for how long: the programs of a daemon's
// callers within a minute, at the target size (letter 1: 22,000 requests a second at
// 390 daemons, a dozen requests a program).
const (
	begunKept    = 4096
	begunKeptFor = time.Minute
)

func newBegunPrograms() *begunPrograms {
	return &begunPrograms{seen: expirable.NewLRU[string, struct{}](begunKept, nil, begunKeptFor)}
}

func (b *begunPrograms) note(program string)     { b.seen.Add(program, struct{}{}) }
func (b *begunPrograms) forget(program string)   { b.seen.Remove(program) }
func (b *begunPrograms) has(program string) bool { return b.seen.Contains(program) }
