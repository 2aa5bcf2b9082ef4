package callerapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

const (
	bearerPrefix            = "Bearer "
	configurationRetryAfter = time.Second
)

// authenticate returns the tenant whose key has the digest of the request's bearer
// key. A daemon that has just started, or is cut off, may lack keys that were added
// recently. While its configuration is not confirmed, it therefore answers
// "unavailable", and not "unauthenticated", for an unknown key.
func (a *api) authenticate(incoming *http.Request) (*configuration.Tenant, *problem.Problem) {
	key, found := strings.CutPrefix(incoming.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return nil, unauthenticatedProblem("a bearer key is needed in the Authorization header")
	}
	// Asked before the revision is taken, so that a confirmation is never that of a later revision.
	isConfirmed := a.Configuration.IsConfirmed()
	current := a.Configuration.Current()
	if owner, known := current.Keys.Owner(tenant.HashKey(key)); known {
		return current.TenantByName[owner], nil
	}
	if !isConfirmed {
		return nil, problem.New(problem.KindUnavailable, "authenticate",
			"the bearer key is not known here, and the configuration is not confirmed: it may have been declared since").
			WithRetryAfter(configurationRetryAfter)
	}
	return nil, unauthenticatedProblem("the bearer key is not known")
}

func unauthenticatedProblem(detail string) *problem.Problem {
	return problem.New(problem.KindUnauthenticated, "authenticate", "%s", detail)
}
