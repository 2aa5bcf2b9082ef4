// Package convert converts between the types of package configuration and the
// messages of the operator API (api/operator/v1). An enum value that has no name
// here becomes its number as text, which configuration.Validate rejects. A name
// that is not known becomes an enum value that has no name.
package convert

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
)

var classNames = map[operatorv1.PriorityClass]string{
	operatorv1.PriorityClass_PRIORITY_CLASS_UNSPECIFIED: "",
	operatorv1.PriorityClass_PRIORITY_CLASS_INTERACTIVE: "interactive",
	operatorv1.PriorityClass_PRIORITY_CLASS_STANDARD:    "standard",
	operatorv1.PriorityClass_PRIORITY_CLASS_BATCH:       "batch",
}

var roleNames = map[operatorv1.PoolRole]string{
	operatorv1.PoolRole_POOL_ROLE_UNSPECIFIED: "",
	operatorv1.PoolRole_POOL_ROLE_SERVE:       "serve",
	operatorv1.PoolRole_POOL_ROLE_PREFILL:     "prefill",
	operatorv1.PoolRole_POOL_ROLE_DECODE:      "decode",
}

var kindNames = map[operatorv1.ServiceKind]string{
	operatorv1.ServiceKind_SERVICE_KIND_UNSPECIFIED: "",
	operatorv1.ServiceKind_SERVICE_KIND_SERVICE:     "service",
	operatorv1.ServiceKind_SERVICE_KIND_TOOL:        "tool",
}

// unknownEnumValue is a number that no enum of the API uses.
const unknownEnumValue = -1

// ClassToProto converts the name of a priority class to its enum value.
func ClassToProto(name string) operatorv1.PriorityClass { return valueOf(classNames, name) }

// ClassFromProto converts the enum value of a priority class to its name, such as
// "batch".
func ClassFromProto(class operatorv1.PriorityClass) string { return nameOf(classNames, class) }

// nameOf returns the name of an enum value, or its number as text if it has none.
func nameOf[E ~int32](names map[E]string, value E) string {
	if name, known := names[value]; known {
		return name
	}
	return strconv.Itoa(int(value))
}

// valueOf returns the enum value with the name, or unknownEnumValue.
func valueOf[E ~int32](names map[E]string, name string) E {
	for value, known := range names {
		if known == name {
			return value
		}
	}
	return unknownEnumValue
}

// DurationToProto converts a duration to its message; zero becomes nil.
func DurationToProto(duration time.Duration) *durationpb.Duration {
	if duration == 0 {
		return nil
	}
	return durationpb.New(duration)
}

// DocumentToProto converts a whole configuration to its message.
func DocumentToProto(document *configuration.Document) *operatorv1.Document {
	return &operatorv1.Document{
		Tenants:  convertAll(document.Tenants, tenantToProto),
		Models:   convertAll(document.Models, modelToProto),
		Pools:    convertAll(document.Pools, poolToProto),
		Engines:  convertAll(document.Engines, engineToProto),
		Services: convertAll(document.Services, serviceToProto),
		Drains:   document.Drains,
	}
}

// DocumentFromProto converts the message to a whole configuration.
func DocumentFromProto(document *operatorv1.Document) configuration.Document {
	return configuration.Document{
		Tenants:  convertAll(document.GetTenants(), tenantFromProto),
		Models:   convertAll(document.GetModels(), modelFromProto),
		Pools:    convertAll(document.GetPools(), poolFromProto),
		Engines:  convertAll(document.GetEngines(), engineFromProto),
		Services: convertAll(document.GetServices(), serviceFromProto),
		Drains:   document.GetDrains(),
	}
}

// DifferenceToProto converts a difference to its message, which does not have the
// revisions From and To.
func DifferenceToProto(difference *configuration.Difference) *operatorv1.Difference {
	deletes := difference.Deletes
	return &operatorv1.Difference{
		Upserts: DocumentToProto(&difference.Upserts),
		Deletes: &operatorv1.Names{
			Tenants:  deletes.Tenants,
			Models:   deletes.Models,
			Pools:    deletes.Pools,
			Engines:  deletes.Engines,
			Services: deletes.Services,
			Drains:   deletes.Drains,
		},
	}
}

// DifferenceFromProto converts the message to a difference. Its revisions From and To
// are zero.
func DifferenceFromProto(difference *operatorv1.Difference) configuration.Difference {
	deletes := difference.GetDeletes()
	return configuration.Difference{
		Upserts: DocumentFromProto(difference.GetUpserts()),
		Deletes: configuration.ItemNames{
			Tenants:  deletes.GetTenants(),
			Models:   deletes.GetModels(),
			Pools:    deletes.GetPools(),
			Engines:  deletes.GetEngines(),
			Services: deletes.GetServices(),
			Drains:   deletes.GetDrains(),
		},
	}
}

// ItemChangesToProto converts a list of changed items to their messages.
func ItemChangesToProto(changes []configuration.ItemChange) []*operatorv1.ItemChange {
	converted := make([]*operatorv1.ItemChange, 0, len(changes))
	for _, change := range changes {
		item := &operatorv1.ItemChange{Kind: change.Kind, Name: change.Name, Action: string(change.Action)}
		for _, field := range change.Fields {
			item.Fields = append(item.Fields, &operatorv1.FieldChange{Name: field.Name, From: field.From, To: field.To})
		}
		converted = append(converted, item)
	}
	return converted
}

// convertAll converts each item of a slice. It returns nil for an empty slice.
func convertAll[From, To any](items []From, convert func(*From) To) []To {
	if len(items) == 0 {
		return nil
	}
	converted := make([]To, len(items))
	for i := range items {
		converted[i] = convert(&items[i])
	}
	return converted
}

func tenantToProto(tenant *configuration.Tenant) *operatorv1.Tenant {
	return &operatorv1.Tenant{
		Name:              string(tenant.Name),
		KeyHashes:         tenant.KeyHashes,
		Class:             valueOf(classNames, tenant.Class),
		RequestsPerSecond: tenant.RequestsPerSecond,
		Burst:             int64(tenant.Burst),
		TokenBudget:       tenant.TokenBudget,
		MaxTurns:          tenant.MaxTurns,
		Idle:              DurationToProto(tenant.Idle),
		Lifetime:          DurationToProto(tenant.Lifetime),
		MaxPrograms:       int64(tenant.MaxPrograms),
	}
}

func tenantFromProto(tenant **operatorv1.Tenant) configuration.Tenant {
	from := *tenant
	return configuration.Tenant{
		Name:              identity.Tenant(from.GetName()),
		KeyHashes:         from.GetKeyHashes(),
		Class:             nameOf(classNames, from.GetClass()),
		RequestsPerSecond: from.GetRequestsPerSecond(),
		Burst:             int(from.GetBurst()),
		TokenBudget:       from.GetTokenBudget(),
		MaxTurns:          from.GetMaxTurns(),
		Idle:              from.GetIdle().AsDuration(),
		Lifetime:          from.GetLifetime().AsDuration(),
		MaxPrograms:       int(from.GetMaxPrograms()),
	}
}

func modelToProto(model *configuration.Model) *operatorv1.Model {
	return &operatorv1.Model{Name: model.Name, Version: model.Version, Adapters: model.Adapters}
}

func modelFromProto(model **operatorv1.Model) configuration.Model {
	from := *model
	return configuration.Model{Name: from.GetName(), Version: from.GetVersion(), Adapters: from.GetAdapters()}
}

func poolToProto(pool *configuration.Pool) *operatorv1.Pool {
	return &operatorv1.Pool{
		Name:           pool.Name,
		Model:          pool.Model,
		Engines:        pool.Engines,
		Role:           valueOf(roleNames, pool.Role),
		MaxUnavailable: int64(pool.MaxUnavailable),
	}
}

func poolFromProto(pool **operatorv1.Pool) configuration.Pool {
	from := *pool
	return configuration.Pool{
		Name:           from.GetName(),
		Model:          from.GetModel(),
		Engines:        from.GetEngines(),
		Role:           nameOf(roleNames, from.GetRole()),
		MaxUnavailable: int(from.GetMaxUnavailable()),
	}
}

func engineToProto(engine *configuration.Engine) *operatorv1.Engine {
	return &operatorv1.Engine{
		Name:       engine.Name,
		Address:    engine.Address,
		Zone:       string(engine.Zone),
		Generation: engine.Generation,
	}
}

func engineFromProto(engine **operatorv1.Engine) configuration.Engine {
	from := *engine
	return configuration.Engine{
		Name:       from.GetName(),
		Address:    from.GetAddress(),
		Zone:       identity.Zone(from.GetZone()),
		Generation: from.GetGeneration(),
	}
}

func serviceToProto(service *configuration.Service) *operatorv1.Service {
	return &operatorv1.Service{
		Name:      service.Name,
		Kind:      valueOf(kindNames, service.Kind),
		Addresses: service.Addresses,
		Timeout:   DurationToProto(service.Timeout),
	}
}

func serviceFromProto(service **operatorv1.Service) configuration.Service {
	from := *service
	return configuration.Service{
		Name:      from.GetName(),
		Kind:      nameOf(kindNames, from.GetKind()),
		Addresses: from.GetAddresses(),
		Timeout:   from.GetTimeout().AsDuration(),
	}
}
