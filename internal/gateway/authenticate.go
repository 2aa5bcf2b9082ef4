package gateway

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// authenticate sets the tenant from the caller's key. If no tenants are configured, it does nothing.
// A public route also accepts requests whose key is missing or unknown. On other routes the
// error is a *Refusal: with status 401 if the key is missing or unknown, or as denyByConfiguration
// returns it.
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
	cause := "unknown key"
	if e.call.Key == nil {
		cause = "exactly one key is required"
	}
	return e.denyByConfiguration(&Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey, Err: eris.New(cause)}, ReasonUncertainKey)
}

// denyByConfiguration returns the denial of what the configuration does not contain. If the
// configuration is older than MaxConfigurationAge, or not confirmed, a newer one may contain it, so
// the result is a refusal with status 503 and the given reason instead, and the caller retries.
func (e *execution) denyByConfiguration(denial *Refusal, uncertain Reason) error {
	switch {
	case !e.isTableConfirmed:
		return notRunRefusal(uncertain, storeRetryAfter, eris.Wrap(denial.Err, "the configuration is not confirmed yet"))
	case e.tableAge > e.gateway.MaxConfigurationAge:
		return notRunRefusal(uncertain, storeRetryAfter, eris.Wrapf(denial.Err, "the configuration was last confirmed %s ago", e.tableAge))
	default:
		return denial
	}
}

// tenantName returns the name of the request's tenant, or "" if it has none.
func (e *execution) tenantName() string {
	if e.tenant == nil {
		return ""
	}
	return string(e.tenant.Name)
}

// unscopedProgram returns the name of the program without the tenant, or "" if the request has no
// tenant.
func (e *execution) unscopedProgram() string {
	if e.tenant == nil {
		return ""
	}
	return e.call.Program
}

// tenantScoped qualifies a name that the caller chose with the caller's tenant, so that tenants can
// choose the same name. Without a tenant it returns the name unchanged.
func (e *execution) tenantScoped(name string) string {
	if e.tenant == nil {
		return name
	}
	return tenant.Scope(e.tenant.Name, name)
}
