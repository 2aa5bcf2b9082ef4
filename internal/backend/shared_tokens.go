package backend

// Tokens returns the total size of all shared parts known to this process, in tokens.
func (s *Sharing) Tokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sharedTokens
}
