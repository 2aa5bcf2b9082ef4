// Package quota bounds what each tenant asks of the whole fleet in any window of
// time. A quota is kept in parts, each by one daemon alone (members.List.Keeps);
// a request takes a place in one of them before it runs.
//
// Guarantee: in any window, the requests of a tenant that ran are at most its limit with
// the tolerance, for all daemons together, in touch or not, however much is asked at
// once and however old any daemon's knowledge is. A part's keeper decides alone, by what
// it gave out itself; whoever keeps it next begins with nothing, and gives out the steady
// rate from the moment since which nobody else did (bucket.go). What is counted is the
// moment at which the place was taken: it lies between the arrival of the request
// and its start at an engine. Where two configurations declare different quotas, the
// higher one bounds until all daemons have the newer.
//
// New work is served while its tenant stays within its rate and burst, if all parts are
// kept and reached; work under way may use the tolerance.
//
// Cost: one call to another daemon for each request of a limited tenant, four at most
// where there is no place; nothing is told while nothing is asked. A daemon that reaches
// no keeper serves no limited tenant.
package quota

import (
	"fmt"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Request is one request that asks for its place in a tenant's quota.
type Request struct {
	Tenant identity.Tenant
	Quota  tenant.Quota
	// Revision is that of the configuration which declares the quota.
	Revision uint64
	// UnderWay tells that it belongs to work that was begun before: it may use the
	// tolerance, since refusing it loses what was done.
	UnderWay bool
}

// Decision is what a place was given or refused by.
type Decision struct {
	Keeper string  // the machine that decided last
	Level  float64 // places left in its part
	Asked  int     // keepers that were asked
	Known  int     // parts that were known to be empty without asking
	Silent int     // parts whose keeper is unknown, or did not answer
	Took   time.Duration
}

// String tells the decision in a log line.
func (d Decision) String() string {
	return fmt.Sprintf("%d parts asked, %d known to be empty, %d not reached, %.1f places left at %q, took %s",
		d.Asked, d.Known, d.Silent, d.Level, d.Keeper, d.Took.Round(time.Millisecond))
}

// ExceededError says that a tenant is at its limit.
type ExceededError struct {
	Decision
	Tenant identity.Tenant
	// Allowed is how many requests its quota allows in a window.
	Allowed int
	// After is when there is likely to be room.
	After time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("tenant %s: no place left, %d allowed in a window; %s", e.Tenant, e.Allowed, e.Decision)
}

// UnreachedError says that no keeper of a tenant's quota was reached, so that nobody
// knows whether there is a place.
type UnreachedError struct {
	Decision
	Tenant identity.Tenant
}

// Error implements error.
func (e *UnreachedError) Error() string {
	return fmt.Sprintf("tenant %s: no keeper of its quota was reached; %s", e.Tenant, e.Decision)
}
