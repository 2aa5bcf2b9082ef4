package gateway

import (
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// authenticate finds whose request it is. A key that this daemon does not know may
// have been added since it last heard the configuration; the caller then may come
// back, or reach another daemon, where 401 would be final.
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
		return unauthenticated("one key is needed")
	}
	if age, _ := e.gateway.Ages(); age > e.gateway.KeysBelieved {
		return notRun(ReasonUnsureKey, comeBackStore, eris.Errorf("the key is not known, and the configuration was last heard %s ago", age))
	}
	return unauthenticated("the key is not known")
}

func unauthenticated(cause string) error {
	return &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey, Err: eris.New(cause)}
}

// owner names the tenant whose request it is; "": nobody's.
func (e *execution) owner() string {
	if e.tenant == nil {
		return ""
	}
	return string(e.tenant.Name)
}

// scoped makes a name that a caller chose the tenant's own.
func (e *execution) scoped(name string) string {
	if e.tenant == nil {
		return name
	}
	return tenant.Scope(e.tenant.Name, name)
}
