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
	bearerPrefix       = "Bearer "
	configurationRetry = time.Second
)

// authenticate finds the tenant by the digest of the bearer key. A daemon that just started, or is cut off, may
// not know of a key yet: it does not say that the key is wrong.
func (a *api) authenticate(incoming *http.Request) (*configuration.Tenant, *problem.Problem) {
	key, found := strings.CutPrefix(incoming.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return nil, unauthenticated("a bearer key is needed in the Authorization header")
	}
	current := a.Configuration.Current()
	if owner, known := current.Keys.Owner(tenant.HashKey(key)); known {
		return current.TenantByName[owner], nil
	}
	if !a.Configuration.Confirmed() {
		return nil, problem.New(problem.KindUnavailable, "authenticate",
			"the bearer key is not known here, and the configuration is not confirmed: it may have been declared since").
			WithRetryAfter(configurationRetry)
	}
	return nil, unauthenticated("the bearer key is not known")
}

func unauthenticated(detail string) *problem.Problem {
	return problem.New(problem.KindUnauthenticated, "authenticate", "%s", detail)
}
