package backend

// Tokens is how many tokens the parts hold that programs share, as far as this process saw.
func (s *Sharing) Tokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sharedTokens
}
