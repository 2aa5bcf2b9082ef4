package gateway

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// authenticate sets the tenant from the caller's key. If no tenants are configured, it does nothing.
// A public route also accepts requests whose key is missing or unknown. On other routes the
// error is a *Refusal with status 401 if the key is missing or unknown. If the configuration is
// too old to be sure that a key is unknown, the status is 503 instead, so that the caller
// retries.
func (e *execution) authenticate() error {
	if !e.table.Tenants.RequiresKey() {
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
	if age, _ := e.gateway.Staleness(); age > e.gateway.MaxConfigurationAge {
		return notRunRefusal(ReasonUncertainKey, storeRetryAfter, eris.Errorf("unknown key, but the configuration was last confirmed %s ago", age))
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

// tenantScoped qualifies a name that the caller chose with the caller's tenant, so that tenants can
// choose the same name. Without a tenant it returns the name unchanged.
func (e *execution) tenantScoped(name string) string {
	if e.tenant == nil {
		return name
	}
	return tenant.Scope(e.tenant.Name, name)
}
