package configuration

import (
	"slices"
	"sort"
	"strings"
)

// sortedList returns a copy of the list, sorted by name. It returns nil for an
// empty list.
func sortedList[T any](list []T, name func(*T) string) []T {
	if len(list) == 0 {
		return nil
	}
	result := slices.Clone(list)
	less := func(i, j int) bool { return name(&result[i]) < name(&result[j]) }
	if !sort.SliceIsSorted(result, less) {
		sort.SliceStable(result, less)
	}
	return result
}

// compareLists compares two lists that are sorted by name. It returns the items of
// the second list that are new or changed, and the names of the items that only
// the first list has.
func compareLists[T any](from, to []T, name func(*T) string, equal func(a, b *T) bool) (upserts []T, deletes []string) {
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch order := compareFirstNames(from[i:], to[j:], name); {
		case order < 0:
			deletes = append(deletes, name(&from[i]))
			i++
		case order > 0:
			upserts = append(upserts, to[j])
			j++
		default:
			if !equal(&from[i], &to[j]) {
				upserts = append(upserts, to[j])
			}
			i++
			j++
		}
	}
	return upserts, deletes
}

// compareFirstNames compares the names of the first items of two lists, like
// strings.Compare. An empty list sorts after a list with items.
func compareFirstNames[T any](a, b []T, name func(*T) string) int {
	if len(a) == 0 {
		return 1
	}
	if len(b) == 0 {
		return -1
	}
	return strings.Compare(name(&a[0]), name(&b[0]))
}

// patchList applies upserts and deletes to a list that is sorted by name. It
// returns the list itself if there are none, otherwise a new sorted list.
func patchList[T any](list, upserts []T, deletes []string, name func(*T) string) []T {
	if len(upserts) == 0 && len(deletes) == 0 {
		return list
	}
	sortedUpserts := sortedList(upserts, name)
	sortedDeletes := slices.Clone(deletes)
	slices.Sort(sortedDeletes)
	result := make([]T, 0, len(list)+len(sortedUpserts))
	for i := range list {
		itemName := name(&list[i])
		for len(sortedUpserts) > 0 && name(&sortedUpserts[0]) < itemName {
			result = append(result, sortedUpserts[0])
			sortedUpserts = sortedUpserts[1:]
		}
		if len(sortedUpserts) > 0 && name(&sortedUpserts[0]) == itemName {
			result = append(result, sortedUpserts[0])
			sortedUpserts = sortedUpserts[1:]
			continue
		}
		if _, isDeleted := slices.BinarySearch(sortedDeletes, itemName); isDeleted {
			continue
		}
		result = append(result, list[i])
	}
	result = append(result, sortedUpserts...)
	if len(result) == 0 {
		return nil
	}
	return result
}

// findItem returns a pointer to the item with the wanted name in a list that is
// sorted by name, or false if there is none.
func findItem[T any](list []T, wanted string, name func(*T) string) (*T, bool) {
	index := sort.Search(len(list), func(i int) bool { return name(&list[i]) >= wanted })
	if index == len(list) || name(&list[index]) != wanted {
		return nil, false
	}
	return &list[index], true
}
