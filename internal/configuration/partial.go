package configuration

// checkPartial returns the faults of a difference that is to be applied to the
// document: deletes of items that do not exist, and items that occur more than
// once in the difference.
func checkPartial(partial *Difference, document *Document) []string {
	var result faults
	upserts, deletes := &partial.Upserts, &partial.Deletes
	checkPartialList(&result, "tenant", document.Tenants, upserts.Tenants, deletes.Tenants, tenantName)
	checkPartialList(&result, "model", document.Models, upserts.Models, deletes.Models, modelName)
	checkPartialList(&result, "pool", document.Pools, upserts.Pools, deletes.Pools, poolName)
	checkPartialList(&result, "engine", document.Engines, upserts.Engines, deletes.Engines, engineName)
	checkPartialList(&result, "service", document.Services, upserts.Services, deletes.Services, serviceName)
	checkPartialList(&result, "drain", document.Drains, upserts.Drains, deletes.Drains, drainName)
	return result.list()
}

func checkPartialList[T any](result *faults, kind string, list, upserts []T, deletes []string, name func(*T) string) {
	seen := make(map[string]bool, len(upserts)+len(deletes))
	for i := range upserts {
		itemName := name(&upserts[i])
		if seen[itemName] {
			result.add("%s %q is set twice in one change", kind, itemName)
		}
		seen[itemName] = true
	}
	for _, itemName := range deletes {
		if seen[itemName] {
			result.add("%s %q is named twice in one change", kind, itemName)
		}
		seen[itemName] = true
		if _, exists := findItem(list, itemName, name); !exists {
			result.add("%s %q cannot be deleted: it does not exist", kind, itemName)
		}
	}
}
