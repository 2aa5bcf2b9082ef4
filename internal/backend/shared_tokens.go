package backend

// SharedTokens returns the total size of all shared parts known to this process, in
// tokens.
func (t *SharedPartTracker) SharedTokens() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sharedTokens
}
