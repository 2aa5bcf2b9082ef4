package server

// countBegun returns the number of idle connections on which the first bytes of a
// new request were read.
func (c *callerConnections) countBegun() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.idle {
		connection.mutex.Lock()
		if connection.requestBegun {
			count++
		}
		connection.mutex.Unlock()
	}
	return count
}
