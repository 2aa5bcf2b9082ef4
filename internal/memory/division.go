package memory

// Division is how the memory of a machine is divided, in bytes.
type Division struct {
	// Runtime is the soft limit of the Go runtime.
	Runtime int64
	// Held is the most that is held for others.
	Held int64
	// Growth is by how much the heap may grow over what is live until it is collected,
	// in percent; 0: as the runtime has it.
	Growth int
}

// What is left to others than the runtime, and to the process itself.
const (
	megabyte = 1 << 20
	// kernelPart is one part in so many of a machine's memory: buffers of sockets
	// count as the process's, and grow with connections, which larger machines have more of.
	kernelPart = 5
	// outside is what the process maps beside the runtime's memory: its code, the C
	// library, stacks of threads.
	outside = 12 * megabyte
	// own is what the process itself keeps live: the picture of engines and daemons,
	// the configuration, recent turns, budgets, metrics.
	own = 32 * megabyte
	// collected is how many bytes the runtime needs for one that is held: copies that
	// are not collected yet. At the limit the collector runs for each of them.
	collected = 2
	// growth is half of the runtime's own: a gateway keeps few megabytes live, so that collecting
	// is cheap, and what is not collected is most of its peak. On 72 machines with 100 turns a
	// second: 48.0 instead of 55.0 GB x s of memory, 8.8 instead of 8.3 s of processor.
	growth = 50
	// leastRuntime and leastHeld let a machine too small for the above serve at all: a
	// few requests at the usual limit of a body.
	leastRuntime = 32 * megabyte
	leastHeld    = 8 * megabyte
)

// Divide divides a machine's memory, in megabytes; 0 or less: nothing is bounded.
func Divide(machineMB int) Division {
	if machineMB <= 0 {
		return Division{}
	}
	machine := int64(machineMB) * megabyte
	runtime := max(machine-machine/kernelPart-outside, leastRuntime)
	return Division{Runtime: runtime, Held: max((runtime-own)/collected, leastHeld), Growth: growth}
}
