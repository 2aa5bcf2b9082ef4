package gateway

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// authenticate sets the tenant by the caller's key. It returns nil if no key is required, and
// otherwise a *Refusal if the key is missing or unknown. If the configuration is too old to be
// sure that the key does not exist, the refusal has status 503, which callers retry, instead
// of 401, which is final.
func (e *execution) authenticate() error {
	if !e.table.Tenants.Demanded() {
		return nil
	}
	if e.call.Key != nil {
		if owner, known := e.table.Tenants.Find(*e.call.Key); known {
			e.tenant = owner
			return nil
		}
	}
	if e.route.Public {
		return nil
	}
	if e.call.Key == nil {
		return unauthenticatedRefusal("exactly one key is required")
	}
	if age, _ := e.gateway.Ages(); age > e.gateway.KeysBelieved {
		return notRunRefusal(ReasonUnsureKey, storeRetryAfter, eris.Errorf("unknown key, and the configuration was last updated %s ago", age))
	}
	return unauthenticatedRefusal("unknown key")
}

// unauthenticatedRefusal returns a refusal with status 401.
func unauthenticatedRefusal(cause string) error {
	return &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey, Err: eris.New(cause)}
}

// tenantName returns the name of the request's tenant, or "" if it has none.
func (e *execution) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return string(e.tenant.Name)
}

// tenantScoped returns a name chosen by the caller, qualified by its tenant, so that equal
// names of different tenants do not clash.
func (e *execution) tenantScoped(name string) string {
	if e.tenant == nil {
		return name
	}
	return tenant.Scope(e.tenant.Name, name)
}
