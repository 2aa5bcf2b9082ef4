package configuration

// namedResult is the result of a change, with the identifier of the change.
type namedResult struct {
	Identifier string
	Result     ChangeResult
}

// resultCache stores the results of changes by identifier. When it is full, adding
// a result evicts the oldest one.
type resultCache struct {
	capacity     int // maximum number of results
	byIdentifier map[string]ChangeResult
	order        []string // identifiers, oldest first
}

func newResultCache(capacity int) resultCache {
	return resultCache{capacity: capacity, byIdentifier: map[string]ChangeResult{}}
}

func restoreResultCache(capacity int, entries []namedResult) resultCache {
	cache := newResultCache(capacity)
	for _, entry := range entries {
		cache.add(entry.Identifier, entry.Result)
	}
	return cache
}

func (r *resultCache) find(identifier string) (ChangeResult, bool) {
	result, found := r.byIdentifier[identifier]
	return result, found
}

func (r *resultCache) add(identifier string, result ChangeResult) {
	if identifier == "" {
		return
	}
	if len(r.order) >= r.capacity {
		delete(r.byIdentifier, r.order[0])
		r.order = r.order[1:]
	}
	r.order = append(r.order, identifier)
	r.byIdentifier[identifier] = result
}

func (r *resultCache) list() []namedResult {
	list := make([]namedResult, 0, len(r.order))
	for _, identifier := range r.order {
		list = append(list, namedResult{Identifier: identifier, Result: r.byIdentifier[identifier]})
	}
	return list
}
