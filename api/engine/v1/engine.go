// Package enginev1 defines the HTTP protocol between thymeloft and its back ends:
// model engines, application services and tools. Model engines serve
// OpenAI-compatible completions with resumable streams, and fenced
// administration. The package has only wire types and paths. The daemon's clients
// and the test stand-ins share it.
package enginev1

// Paths of a model engine.
const (
	PathCompletions = "/v1/chat/completions" // POST a CompletionRequest; returns server-sent events with a CompletionChunk each, then "[DONE]"
	PathRequests    = "/v1/requests/"        // GET {id}?offset=N resumes the stream from byte N of the content; DELETE {id} cancels and returns a RequestStatus
	PathState       = "/v1/state"            // GET returns an EngineState, which may be out of date
	PathOrders      = "/v1/orders"           // POST an Order; returns an EngineState, with status 409 if the fence is stale
	PathCacheEvents = "/v1/cache/events"     // GET ?after=N returns CacheEvents after sequence number N, delayed and with gaps
	PathHeld        = "/v1/held"             // GET returns a HeldList
	PathRelease     = "/v1/held/release"     // POST a ReleaseRequest; returns 200 once the memory is released
	PathHold        = "/v1/held/hold"        // POST a HoldRequest
	PathKV          = "/v1/kv/"              // GET {program} exports the program's KV cache, PUT {program} imports it
)

// Paths of application services and tools.
const (
	PathExecute    = "/v1/execute"     // POST an ExecuteRequest; returns an ExecuteReply
	PathExecutions = "/v1/executions/" // GET {call ID} returns an ExecuteReply, or 404 if the call did not run; DELETE {call ID} cancels
)

// Names of HTTP headers.
const (
	HeaderNeverStarted = "Thymeloft-Never-Started" // "true" in an error reply means that the request did not start
	HeaderFence        = "Thymeloft-Fence"         // not sent by thymeloft or the stand-ins
)

// Message is one message of a conversation with a model.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest asks for a streamed completion.
type CompletionRequest struct {
	RequestID  string    `json:"request_id"` // "program/sequence/attempt"; a repeated ID resumes the request instead of running it twice
	Program    string    `json:"program"`
	Model      string    `json:"model"`
	Adapter    string    `json:"adapter,omitempty"`
	Messages   []Message `json:"messages"`
	MaxTokens  int64     `json:"max_tokens"`
	Priority   int       `json:"priority"`              // 0 for interactive, 1 for standard, 2 for batch; requests with smaller values run first
	DeadlineMS int64     `json:"deadline_ms,omitempty"` // time left until the deadline
	Stream     bool      `json:"stream"`
}

// CompletionChunk is the content of one server-sent event of a completion.
type CompletionChunk struct {
	ID      string   `json:"id"`
	Offset  int      `json:"offset"` // number of content bytes before this chunk
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // set in the last chunk
	Error   string   `json:"error,omitempty"` // set if the stream ends without an answer
}

// Choice is the part of a chunk in the OpenAI format.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// Usage has the numbers of tokens of a completion.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"` // prompt tokens that were in the prefix cache
	CompletionTokens int64 `json:"completion_tokens"`
}

// RequestStatus is the status of a completion request.
type RequestStatus struct {
	RequestID string `json:"request_id"`
	State     string `json:"state"` // "waiting", "running", "finished", "cancelled", "failed"
	Usage     Usage  `json:"usage"`
}

// EngineState is an engine's report about itself.
type EngineState struct {
	Name          string   `json:"name"`
	Generation    string   `json:"generation"`
	Fence         uint64   `json:"fence"` // highest fencing token that the engine has seen
	Model         string   `json:"model"`
	Version       string   `json:"version"`
	Adapters      []string `json:"adapters"`
	Role          string   `json:"role"`    // "serve", "prefill", "decode", "drained"
	Loading       bool     `json:"loading"` // a model or version is being loaded
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	WaitingTokens int64    `json:"waiting_tokens"`     // prompt tokens of the waiting requests
	MaxRunning    int      `json:"max_running"`        // largest number of requests in a batch
	CacheTokens   int64    `json:"cache_tokens"`       // capacity of the prefix cache
	CacheUsed     int64    `json:"cache_used"`         // tokens in the prefix cache
	PrefillPerSec float64  `json:"prefill_per_second"` // prompt tokens per second
	DecodePerSec  float64  `json:"decode_per_second"`  // generated tokens per second of a request that runs alone
	AsOfUnixMS    int64    `json:"as_of_unix_ms"`      // time of the report
	Incarnation   uint64   `json:"incarnation"`        // identifies the engine's process
}

// Order is an administrative command. An engine rejects an order with a fence
// lower than the highest that it has seen.
type Order struct {
	Fence    uint64   `json:"fence"`
	Kind     string   `json:"kind"` // "claim" (only raises the fence), "load" or "role"
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// CacheEvent reports that the cache stored or evicted blocks of a program.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // "stored", "evicted"
	Program  string `json:"program"`
	Prefix   uint64 `json:"prefix"` // hash of the first blocks of the prompt
	Tokens   int64  `json:"tokens"`
}

// CacheEvents is a page of events in order. Missing sequence numbers are events
// that were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Latest uint64       `json:"latest"` // value of "after" for the next page
}

// Held is the cache memory that an engine holds for a program.
type Held struct {
	Program     string `json:"program"`
	Tokens      int64  `json:"tokens"`
	LeaseLeftMS int64  `json:"lease_left_ms"` // remaining lease; 0 means that the memory may be evicted
}

// HeldList lists all programs for which an engine holds memory.
type HeldList struct {
	Held []Held `json:"held"`
}

// ReleaseRequest asks an engine to release all memory that it holds for the
// programs.
type ReleaseRequest struct {
	Programs []string `json:"programs"`
}

// HoldRequest asks an engine to keep a program's prefix in its cache for the time
// of the lease.
type HoldRequest struct {
	Program string `json:"program"`
	LeaseMS int64  `json:"lease_ms"`
}

// ExecuteRequest asks a service or tool to run an operation. The service counts
// the executions of each CallID, but does not reject repeated requests.
type ExecuteRequest struct {
	CallID     string `json:"call_id"`    // "program/sequence"
	AttemptID  string `json:"attempt_id"` // "program/sequence/attempt"
	Program    string `json:"program"`
	Operation  string `json:"operation"`
	Payload    []byte `json:"payload"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"` // time left until the deadline
}

// ExecuteReply is the state of a call at a service or tool, and its result.
type ExecuteReply struct {
	CallID     string `json:"call_id"`
	State      string `json:"state"`      // "done", "running", "failed"
	Executions int    `json:"executions"` // how often the call ran to its end
	Payload    []byte `json:"payload"`
	Error      string `json:"error,omitempty"` // set if the state is "failed"
}
