// Package quota limits the rate at which the whole fleet runs each tenant's requests. The
// limit applies to a sliding window of time.
//
// A tenant's quota is divided into parts. Each part is assigned to one daemon, its owner
// (see members.List.OwnsShard). A request needs a permit from one of the parts before it runs.
// Metric names and RPC fields call a permit a place.
//
// Guarantee: in any window, all daemons together run at most as many requests of a tenant
// as its limit and the tolerance allow. This holds for any load, during network partitions,
// and with outdated information at any daemon. An owner decides only by the permits that it
// issued itself. A new owner starts with an empty bucket that refills from the time at
// which the previous owner can no longer have issued permits. A request counts at the time
// at which it got its permit, which is after its arrival and before an engine starts it.
// While daemons have different revisions of a quota, the higher limit applies.
//
// If all parts have a reachable owner, new work is served as long as the tenant stays
// within its rate and burst. Work in progress may also use the tolerance.
//
// Cost: in most cases one call to another daemon for each request of a limited tenant. A request
// that is refused asks each part at most once. A daemon that reaches no owner refuses all
// requests of limited tenants.
package quota

import (
	"fmt"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Request describes a request that needs a permit.
type Request struct {
	Tenant identity.Tenant
	Quota  tenant.Quota
	// Revision is the revision of the configuration that declares the quota.
	Revision uint64
	// Continuation is set for a request that continues earlier work. It may use the tolerance,
	// because refusing it would waste the work already done.
	Continuation bool
}

// Decision holds the details of how a permit was issued or refused, for logs and errors.
type Decision struct {
	Owner       string  // machine of the owner that answered last
	Level       float64 // permits left in the part of that owner
	Asked       int     // number of parts whose owner was asked
	KnownEmpty  int     // number of parts not asked because they were known to be empty
	Unreachable int     // number of parts whose owner is unknown, could not be reached, or no longer owns the part
	Duration    time.Duration
}

// String returns the details in one line.
func (d Decision) String() string {
	return fmt.Sprintf("%d parts asked, %d known to be empty, %d not reached, %.1f permits left at %q, took %s",
		d.Asked, d.KnownEmpty, d.Unreachable, d.Level, d.Owner, d.Duration.Round(time.Millisecond))
}

// ExceededError is returned when a tenant has used up its quota.
type ExceededError struct {
	Decision
	Tenant identity.Tenant
	// Limit is the number of requests that the quota allows in a window, without the
	// tolerance.
	Limit int
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("tenant %s: quota used up, %d requests allowed in a window; %s", e.Tenant, e.Limit, e.Decision)
}

// UnreachableError is returned when no owner of a part of the tenant's quota could be reached. It
// is then unknown whether the tenant has used up its quota.
type UnreachableError struct {
	Decision
	Tenant identity.Tenant
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("tenant %s: no owner of a part of its quota could be reached; %s", e.Tenant, e.Decision)
}
