package configuration

// checkPartial returns the faults of a difference that is to be applied to the
// document: deletes of items that do not exist, and items that occur more than
// once in the difference.
func checkPartial(partial *Difference, document *Document) []string {
	var found faults
	upserts, deletes := &partial.Upserts, &partial.Deletes
	checkPartialList(&found, "tenant", document.Tenants, upserts.Tenants, deletes.Tenants, tenantName)
	checkPartialList(&found, "model", document.Models, upserts.Models, deletes.Models, modelName)
	checkPartialList(&found, "pool", document.Pools, upserts.Pools, deletes.Pools, poolName)
	checkPartialList(&found, "engine", document.Engines, upserts.Engines, deletes.Engines, engineName)
	checkPartialList(&found, "service", document.Services, upserts.Services, deletes.Services, serviceName)
	checkPartialList(&found, "drain", document.Drains, upserts.Drains, deletes.Drains, drainName)
	return found.list()
}

func checkPartialList[T any](found *faults, kind string, list, upserts []T, deletes []string, name func(*T) string) {
	named := make(map[string]bool, len(upserts)+len(deletes))
	for i := range upserts {
		current := name(&upserts[i])
		if named[current] {
			found.add("%s %q is set twice in one change", kind, current)
		}
		named[current] = true
	}
	for _, current := range deletes {
		if named[current] {
			found.add("%s %q is named twice in one change", kind, current)
		}
		named[current] = true
		if _, exists := findItem(list, current, name); !exists {
			found.add("%s %q cannot be deleted: it does not exist", kind, current)
		}
	}
}
