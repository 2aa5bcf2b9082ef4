package configuration

import "slices"

// Difference describes how to get from one revision to another: the items to add
// or replace, and the names of the items to delete. Its size is proportional to
// the number of changed items, not to the size of the document.
type Difference struct {
	From    uint64    `json:"from,omitempty"`
	To      uint64    `json:"to,omitempty"`
	Upserts Document  `json:"upserts,omitzero"` // items to add or replace
	Deletes ItemNames `json:"deletes,omitzero"`
}

// ItemNames lists the names of items, one list for each kind of item.
type ItemNames struct {
	Tenants  []string `json:"tenants,omitempty"`
	Models   []string `json:"models,omitempty"`
	Pools    []string `json:"pools,omitempty"`
	Engines  []string `json:"engines,omitempty"`
	Services []string `json:"services,omitempty"`
	Drains   []string `json:"drains,omitempty"`
}

// ItemCount returns the number of items that the difference adds, replaces or deletes.
func (d *Difference) ItemCount() int {
	upserts, deletes := &d.Upserts, &d.Deletes
	return upserts.ItemCount() +
		len(deletes.Tenants) + len(deletes.Models) + len(deletes.Pools) +
		len(deletes.Engines) + len(deletes.Services) + len(deletes.Drains)
}

// ItemCount returns the number of items of all kinds in the document.
func (d *Document) ItemCount() int {
	return len(d.Tenants) + len(d.Models) + len(d.Pools) + len(d.Engines) + len(d.Services) + len(d.Drains)
}

// ComputeDifference returns the difference between two documents, without revision
// numbers. Both must be in normal form (see Normalize).
func ComputeDifference(from, to *Document) Difference {
	var difference Difference
	upserts, deletes := &difference.Upserts, &difference.Deletes
	upserts.Tenants, deletes.Tenants = compareLists(from.Tenants, to.Tenants, tenantName, equalTenants)
	upserts.Models, deletes.Models = compareLists(from.Models, to.Models, modelName, equalModels)
	upserts.Pools, deletes.Pools = compareLists(from.Pools, to.Pools, poolName, equalPools)
	upserts.Engines, deletes.Engines = compareLists(from.Engines, to.Engines, engineName, equalEngines)
	upserts.Services, deletes.Services = compareLists(from.Services, to.Services, serviceName, equalServices)
	upserts.Drains, deletes.Drains = compareLists(from.Drains, to.Drains, drainName, equalDrains)
	return difference
}

// Patch returns the document that results from applying the difference. The
// document must be in normal form. Lists that the difference does not change
// are shared with the original document; Patch modifies neither argument.
func Patch(document *Document, difference *Difference) Document {
	upserts, deletes := &difference.Upserts, &difference.Deletes
	return Document{
		Tenants:  patchList(document.Tenants, upserts.Tenants, deletes.Tenants, tenantName),
		Models:   patchList(document.Models, upserts.Models, deletes.Models, modelName),
		Pools:    patchList(document.Pools, upserts.Pools, deletes.Pools, poolName),
		Engines:  patchList(document.Engines, upserts.Engines, deletes.Engines, engineName),
		Services: patchList(document.Services, upserts.Services, deletes.Services, serviceName),
		Drains:   patchList(document.Drains, upserts.Drains, deletes.Drains, drainName),
	}
}

// Normalize returns a copy of the document in normal form: each list is sorted
// by name, so that the order in which items were declared does not matter. The
// order within an item (key hashes, engines of a pool, addresses) is preserved.
func Normalize(document *Document) Document {
	return Document{
		Tenants:  sortedList(document.Tenants, tenantName),
		Models:   sortedList(document.Models, modelName),
		Pools:    sortedList(document.Pools, poolName),
		Engines:  sortedList(document.Engines, engineName),
		Services: sortedList(document.Services, serviceName),
		Drains:   sortedList(document.Drains, drainName),
	}
}

func tenantName(item *Tenant) string   { return string(item.Name) }
func modelName(item *Model) string     { return item.Name }
func poolName(item *Pool) string       { return item.Name }
func engineName(item *Engine) string   { return item.Name }
func serviceName(item *Service) string { return item.Name }
func drainName(item *string) string    { return *item }

func equalTenants(a, b *Tenant) bool {
	return a.Name == b.Name && slices.Equal(a.KeyHashes, b.KeyHashes) && a.Class == b.Class &&
		a.RequestsPerSecond == b.RequestsPerSecond && a.Burst == b.Burst && a.TokenBudget == b.TokenBudget &&
		a.MaxTurns == b.MaxTurns && a.Idle == b.Idle && a.Lifetime == b.Lifetime && a.MaxPrograms == b.MaxPrograms
}

func equalModels(a, b *Model) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

func equalPools(a, b *Pool) bool {
	return a.Name == b.Name && a.Model == b.Model && slices.Equal(a.Engines, b.Engines) &&
		a.Role == b.Role && a.MaxUnavailable == b.MaxUnavailable
}

func equalEngines(a, b *Engine) bool { return *a == *b }

func equalServices(a, b *Service) bool {
	return a.Name == b.Name && a.Kind == b.Kind && slices.Equal(a.Addresses, b.Addresses) && a.Timeout == b.Timeout
}

func equalDrains(a, b *string) bool { return *a == *b }
