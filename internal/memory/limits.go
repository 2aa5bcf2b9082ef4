package memory

// Limits holds the limits derived from the size of a machine's memory. MemoryLimit, MaxHeldBytes and
// MaxCopyBytes are in bytes; 0 means no limit.
type Limits struct {
	// MemoryLimit is the soft memory limit of the Go runtime.
	MemoryLimit int64
	// MaxHeldBytes is the limit for bytes held for callers.
	MaxHeldBytes int64
	// MaxCopyBytes is the limit for the copies made while conversations are loaded or stored whole, in
	// addition to MaxHeldBytes.
	MaxCopyBytes int64
	// GCPercent is the garbage collection target in percent, as in GOGC; 0 retains the runtime's
	// default.
	GCPercent int
}

// Parameters of LimitsFor.
const (
	megabyte = 1 << 20
	// kernelDivisor reserves 1/kernelDivisor of the memory for socket buffers, which count as
	// memory of the process. The reserve grows with the memory since larger machines have more
	// connections.
	kernelDivisor = 5
	// nonRuntimeBytes is reserved for memory that the process maps outside the Go runtime: code,
	// the C library and thread stacks.
	nonRuntimeBytes = 12 * megabyte
	// processLiveBytes is reserved for the live heap of the process itself: the state of engines
	// and daemons, configuration, recent turns, budgets and metrics.
	processLiveBytes = 32 * megabyte
	// heapFactor is the number of heap bytes reserved for each held byte, including copies that
	// are not collected yet.
	heapFactor = 2
	// gcPercent is half of the runtime's default: the live heap is usually a few megabytes, so
	// that collections are cheap and garbage makes up most of the peak.
	gcPercent = 50
	// minRuntimeBytes lets a small machine serve at least a few requests.
	minRuntimeBytes = 32 * megabyte
	// minHeldBytes lets a small machine serve a request of the largest size, with a body of 4 MiB. While its
	// buffer grows, a smaller one is held too, and one owner gets half.
	minHeldBytes = 12 * megabyte
	// copyDivisor limits the copies of conversations to 1/copyDivisor of what may be held for callers.
	copyDivisor = 2
	// minCopyBytes is the least that is left for them.
	minCopyBytes = 4 * megabyte
)

// LimitsFor returns the limits for a machine with this memory in megabytes. If machineMB is 0 or
// less, nothing is limited.
func LimitsFor(machineMB int) Limits {
	if machineMB <= 0 {
		return Limits{}
	}
	machineBytes := int64(machineMB) * megabyte
	runtimeBytes := max(machineBytes-machineBytes/kernelDivisor-nonRuntimeBytes, minRuntimeBytes)
	heldBytes := (runtimeBytes - processLiveBytes) / heapFactor
	return Limits{
		MemoryLimit: runtimeBytes, MaxHeldBytes: max(heldBytes, minHeldBytes), MaxCopyBytes: max(heldBytes/copyDivisor, minCopyBytes),
		GCPercent: gcPercent,
	}
}
