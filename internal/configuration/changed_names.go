package configuration

import "slices"

// changedNames collects the names of the items that occur in differences.
type changedNames struct{ names ItemNames }

func (t *changedNames) add(difference *Difference) {
	upserts, deletes := &difference.Upserts, &difference.Deletes
	t.names.Tenants = appendNames(t.names.Tenants, upserts.Tenants, deletes.Tenants, tenantName)
	t.names.Models = appendNames(t.names.Models, upserts.Models, deletes.Models, modelName)
	t.names.Pools = appendNames(t.names.Pools, upserts.Pools, deletes.Pools, poolName)
	t.names.Engines = appendNames(t.names.Engines, upserts.Engines, deletes.Engines, engineName)
	t.names.Services = appendNames(t.names.Services, upserts.Services, deletes.Services, serviceName)
	t.names.Drains = appendNames(t.names.Drains, upserts.Drains, deletes.Drains, drainName)
}

// differenceTo returns the difference that brings all collected items to their state
// in the document: an upsert for an item that the document has, a delete for one
// that it does not have.
func (t *changedNames) differenceTo(document *Document) Difference {
	var difference Difference
	upserts, deletes := &difference.Upserts, &difference.Deletes
	upserts.Tenants, deletes.Tenants = splitByPresence(document.Tenants, t.names.Tenants, tenantName)
	upserts.Models, deletes.Models = splitByPresence(document.Models, t.names.Models, modelName)
	upserts.Pools, deletes.Pools = splitByPresence(document.Pools, t.names.Pools, poolName)
	upserts.Engines, deletes.Engines = splitByPresence(document.Engines, t.names.Engines, engineName)
	upserts.Services, deletes.Services = splitByPresence(document.Services, t.names.Services, serviceName)
	upserts.Drains, deletes.Drains = splitByPresence(document.Drains, t.names.Drains, drainName)
	return difference
}

// reverseDifference returns the difference that reverts the forward difference. The
// before argument is the document that the forward difference was applied to.
func reverseDifference(before *Document, forward *Difference) Difference {
	var changed changedNames
	changed.add(forward)
	back := changed.differenceTo(before)
	back.From = forward.To
	back.To = forward.From
	return back
}

func appendNames[T any](names []string, upserts []T, deletes []string, name func(*T) string) []string {
	for i := range upserts {
		names = append(names, name(&upserts[i]))
	}
	return append(names, deletes...)
}

func splitByPresence[T any](list []T, names []string, name func(*T) string) (upserts []T, deletes []string) {
	unique := slices.Clone(names)
	slices.Sort(unique)
	for _, wanted := range slices.Compact(unique) {
		if item, found := findItem(list, wanted, name); found {
			upserts = append(upserts, *item)
		} else {
			deletes = append(deletes, wanted)
		}
	}
	return upserts, deletes
}
