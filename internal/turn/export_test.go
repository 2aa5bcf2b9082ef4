package turn

// CachedBytes returns how many bytes of turns are in memory.
func (r *Repository) CachedBytes() int { return r.cache.size() }
