package ingress

import "syscall"

// ConnectionBytes is the memory that an open connection takes: its goroutine and the buffers of net/http.
const ConnectionBytes = 16 << 10

const (
	// callersDivisor and endpointDivisor are the parts of a machine's memory that the connections of
	// callers, and those of one endpoint for the platform or operators, may take.
	callersDivisor  = 8
	endpointDivisor = 16
	// descriptorsDivisor is the part of the process's file descriptors that callers' connections may
	// take. The rest is for engines, the store and other daemons.
	descriptorsDivisor = 2
	// maxEndpointConnections is enough for an endpoint on any machine.
	maxEndpointConnections = 512
)

// MaxCallerConnections returns the largest number of callers' connections on a machine with this memory
// in megabytes; 0 or less: not known. It also depends on the limit of file descriptors.
func MaxCallerConnections(machineMB int) int {
	limit := int(descriptorLimit() / descriptorsDivisor)
	if machineMB > 0 {
		limit = min(limit, machineMB<<20/callersDivisor/ConnectionBytes)
	}
	return limit
}

// MaxEndpointConnections returns the largest number of connections of an endpoint that serves the platform
// or operators, on a machine with this memory in megabytes; 0 or less: not known.
func MaxEndpointConnections(machineMB int) int {
	if machineMB <= 0 {
		return maxEndpointConnections
	}
	return min(machineMB<<20/endpointDivisor/ConnectionBytes, maxEndpointConnections)
}

// descriptorLimit returns the limit of open files of this process.
func descriptorLimit() uint64 {
	const unknown, largest = 1 << 10, 1 << 20
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	return min(limit.Cur, largest)
}
