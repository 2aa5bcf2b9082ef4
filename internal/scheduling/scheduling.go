// Package scheduling decides whether a call is admitted, in which order
// waiting calls are placed, and on which engine. Decisions depend only on
// their arguments: the package does no I/O and reads no clock.
package scheduling

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Class is the declared priority of a program; lower values go first.
type Class uint8

// The priority classes, most urgent first.
const (
	ClassInteractive Class = 0
	ClassStandard    Class = 1
	ClassBatch       Class = 2
)

// Engine is the state of one model engine as the scheduler sees it: its last
// load report and the calls that this daemon has placed on it since then.
type Engine struct {
	ID                string
	Address           string
	Model             string
	Version           string
	Adapters          []string
	Zone              identity.Zone
	Generation        string
	PrefillPerSec     float64 // measured prefill throughput, in prompt tokens per second
	DecodePerSec      float64 // measured decode throughput of one stream at low load, in tokens per second
	MaxRunning        int     // maximum number of sequences in a batch
	Running           int     // reported number of sequences in the batch
	Waiting           int     // reported number of sequences queued in the engine
	WaitingTokens     int64   // reported number of prompt tokens not prefilled yet
	CacheTokens       int64   // capacity of the prefix cache, in tokens
	CacheUsed         int64   // tokens in the prefix cache
	PlacedSinceReport int     // calls placed by this daemon since the report
	PlacedTokens      int64   // prompt tokens of the calls in PlacedSinceReport, without the tokens expected in the cache
	ReportAge         time.Duration
	Accepting         bool    // false if the engine is draining, ejected, loading or not in a serving role
	Probing           bool    // may take one trial call after an ejection
	ErrorRate         float64 // share of failed calls, 0 to 1
}

// Snapshot is an immutable view of all engines of a region. It is safe for
// concurrent use.
type Snapshot struct {
	Engines []Engine
	// ByModel maps a model name to the indexes of its engines in Engines.
	ByModel map[string][]int
	// SharedPrefixes maps the hash of a shared prefix to the engines that hold it.
	SharedPrefixes map[uint64][]PrefixHolder

	// NewSnapshot and Refresh set the fields below. Without these fields,
	// decisions are the same but slower.
	prepared      []candidate       // by index in Engines
	byID          map[string]int    // indexes in Engines by engine ID
	adapterBits   map[string]uint64 // the bit of each adapter that has its own
	withCapacity  map[string][]int  // ByModel without the full engines
	cacheCapacity map[string]int64  // total CacheTokens of the accepting engines, by model
}

// PrefixHolder is an engine that holds the first Tokens tokens of a prompt in
// its cache.
type PrefixHolder struct {
	EngineIndex int // index in Snapshot.Engines
	Tokens      int64
}

// Request describes a call that is to be placed.
type Request struct {
	Tenant          identity.Tenant
	Class           Class
	Model           string
	Adapter         string
	Zone            identity.Zone // zone of the daemon that decides
	PromptTokens    int64         // estimated length of the whole prompt
	MaxOutputTokens int64
	AttainedService time.Duration // service time that the program has received so far
	Waited          time.Duration // time since the call was accepted
	TimeToDeadline  time.Duration // time left until the deadline; zero: no deadline
	HolderID        string        // ID of the engine that last served the program; empty: none
	HolderTokens    int64         // prompt tokens expected in the cache of that engine
	SharedPrefix    uint64        // hash of the prefix that the call shares with other programs; zero: none
	ExcludedEngines []string      // IDs of engines that have already failed this call
	NotRepeatable   bool          // the call must not be executed twice; it is never the trial call of a Probing engine
	QueuedAhead     int           // calls before this one in the daemon's queue
	Seed            uint64        // random number for sampling engines and for retry jitter
	LiveTokens      int64         // unshared prefix tokens of the live programs that this daemon leads
	CacheShare      float64       // share of the model's total cache that this daemon may use, 0 to 1; zero: unknown
}

// Action is what to do with a call.
type Action uint8

// The actions.
const (
	ActionPlace  Action = iota // send it to Decision.EngineIndex
	ActionWait                 // queue it; decide again when a slot becomes free or after Decision.RetryAfter
	ActionRefuse               // reject it at once; the caller may retry after Decision.RetryAfter
)

// Reason is why a decision was made. It is logged and used as a metric label.
type Reason string

// The reasons of decisions.
const (
	ReasonHolder       Reason = "holder"        // placed on the engine that last served the program
	ReasonSharedPrefix Reason = "shared-prefix" // placed on an engine that holds a shared prefix
	ReasonLeastCost    Reason = "least-cost"    // placed on the cheapest engine, which is not known to hold a prefix of the prompt
	ReasonFull         Reason = "full"          // every usable engine is full
	ReasonNoEngine     Reason = "no-engine"     // no usable engine serves the model and adapter
	ReasonDeadline     Reason = "deadline"      // the call cannot finish before its deadline
	ReasonMemory       Reason = "memory"        // prefixes of live programs fill the caches; a new program waits
	ReasonMaxWait      Reason = "bound"         // the wait exceeds, or would exceed, the maximum for the call
)

// Decision is the result for one call. It holds no pointers into the snapshot.
type Decision struct {
	Action       Action
	EngineIndex  int           // index in Snapshot.Engines, for ActionPlace
	CachedTokens int64         // prompt tokens expected in the cache of that engine
	TransferFrom int           // index of the engine to transfer the KV cache from; -1: no transfer
	Cost         time.Duration // ActionPlace: estimated time to the first token; ReasonFull: estimated time to a free slot; otherwise zero
	RetryAfter   time.Duration // for ActionWait and ActionRefuse: delay before the next try
	Reason       Reason
}

// Policy decides about calls. Implementations are stateless and safe for
// concurrent use.
type Policy interface {
	Decide(snapshot *Snapshot, request *Request) Decision
}
