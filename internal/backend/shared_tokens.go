package backend

// SharedTokens returns the total size of all shared parts known to this process, in tokens.
func (s *SharedPartTracker) SharedTokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sharedTokens
}
