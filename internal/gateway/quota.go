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

// takeQuota takes a permit from the tenant's quota, before the body is read, and notes the
// program as admitted. The error is a *Refusal or an *AbortedError.
func (e *execution) takeQuota() error {
	if e.tenant == nil {
		return nil
	}
	permit, err := e.takePermit(e.isProgramUnderWay())
	e.quotaPermit = permit
	if err == nil && e.call.Program != "" {
		e.gateway.recentPrograms.add(e.tenantScoped(e.call.Program))
	}
	return err
}

// maxOwnerWait is how long a request waits while no owner of a part of the tenant's quota can be
// reached. An owner that was killed is usually restarted and ready within that time.
const maxOwnerWait = 500 * time.Millisecond

// takePermit takes one permit from the tenant's quota and retries for up to maxOwnerWait while
// no owner of a part of the quota can be reached. The error is a *Refusal or an *AbortedError.
func (e *execution) takePermit(isProgramUnderWay bool) (*quota.Permit, error) {
	request := quota.Request{Tenant: e.tenant.Name, Quota: e.tenant.Quota, Revision: e.table.Revision, Continuation: isProgramUnderWay}
	ctx, cancel := context.WithTimeout(e.request.Context(), min(maxOwnerWait, e.maxPreparationWait()))
	defer cancel()
	permit, err := e.gateway.Quotas.Acquire(e.request.Context(), request)
	var unreachable *quota.UnreachableError
	for errors.As(err, &unreachable) && pause.Sleep(ctx, instancePollInterval) {
		permit, err = e.gateway.Quotas.Acquire(e.request.Context(), request)
	}
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return nil, &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuotaExceeded, RetryAfter: exceeded.RetryAfter, Err: err}
	}
	if err != nil && e.callerHasLeft() {
		return nil, &AbortedError{Reason: ReasonCallerDisconnected, Err: err}
	}
	if err != nil {
		return nil, notRunRefusal(ReasonQuotaUnknown, shortRetryAfter, err)
	}
	return permit, nil
}

// takeQuotaForRetry takes another permit if the engine tried last may have run the request,
// since a quota limits what engines run. It reports whether the request may be sent again.
func (e *execution) takeQuotaForRetry(err error) bool {
	var lost *backend.LostError
	if e.quotaPermit == nil || !errors.As(err, &lost) {
		return true
	}
	const isProgramUnderWay = true
	if _, refused := e.takePermit(isProgramUnderWay); refused != nil {
		e.gateway.Log.Info("request: not retried, since no quota permit was given.", zap.String("request", e.call.ID), zap.String("cause", refused.Error()))
		return false
	}
	return true
}

// returnQuota returns the permit to the quota if it is certain that no engine ran the request.
func (e *execution) returnQuota() {
	if e.runs == 0 {
		e.quotaPermit.Release()
	}
}

// isProgramUnderWay reports whether the request's program has already done work, which a refusal
// would waste. It is true for a request of a program if the request continues a turn, if its
// service is not a model, or if this daemon recently admitted a request of the program.
func (e *execution) isProgramUnderWay() bool {
	if e.call.Program == "" {
		return false
	}
	return e.call.Previous != "" || !e.service.Model || e.gateway.recentPrograms.has(e.tenantScoped(e.call.Program))
}

// recentPrograms remembers the programs that recently had a request admitted by this daemon. It
// is safe for concurrent use.
type recentPrograms struct {
	seen *expirable.LRU[string, struct{}]
}

// Limits of recentPrograms. They cover the programs of a daemon within a minute at the target
// load: 22,000 requests a second, 390 daemons, 12 requests for each program.
const (
	maxRecentPrograms = 4096
	recentProgramTTL  = time.Minute
)

func newRecentPrograms() *recentPrograms {
	return &recentPrograms{seen: expirable.NewLRU[string, struct{}](maxRecentPrograms, nil, recentProgramTTL)}
}

func (p *recentPrograms) add(program string)      { p.seen.Add(program, struct{}{}) }
func (p *recentPrograms) remove(program string)   { p.seen.Remove(program) }
func (p *recentPrograms) has(program string) bool { return p.seen.Contains(program) }
