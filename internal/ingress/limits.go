package ingress

import "syscall"

// ConnectionBytes is the memory that an open connection takes: its goroutine and the buffers of net/http.
const ConnectionBytes = 16 << 10

const (
	// connectionsDivisor is the part of a machine's memory that callers' connections may take.
	connectionsDivisor = 6
	// descriptorsDivisor is the part of the process's file descriptors that callers' connections may
	// take. The rest is for engines, the store and other daemons.
	descriptorsDivisor = 2
	// EndpointConnections is the largest number of connections of a listener that serves the platform or
	// operators, and not callers.
	EndpointConnections = 128
)

// MaxCallerConnections returns the largest number of callers' connections on a machine with this memory
// in megabytes; 0 or less: not known. It also depends on the limit of file descriptors.
func MaxCallerConnections(machineMB int) int {
	limit := int(descriptorLimit() / descriptorsDivisor)
	if machineMB > 0 {
		limit = min(limit, machineMB<<20/connectionsDivisor/ConnectionBytes)
	}
	return limit
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
