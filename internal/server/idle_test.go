package server

// begun counts resting connections on which bytes were read.
func (c *callerConnections) begun() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.resting {
		connection.mutex.Lock()
		if connection.begun {
			count++
		}
		connection.mutex.Unlock()
	}
	return count
}
