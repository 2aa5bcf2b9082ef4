package callerapi

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// CreateRequest is the request to create a program. A request with a creation key
// that was used before returns the program created then.
type CreateRequest struct {
	CreationKey     string           `json:"creation_key"`
	Parent          identity.Program `json:"parent,omitempty"`
	Class           string           `json:"class,omitempty"` // "interactive", "standard" or "batch"; empty for the tenant's default
	TokenBudget     int64            `json:"token_budget,omitempty"`
	MaxTurns        uint64           `json:"max_turns,omitempty"`
	IdleSeconds     float64          `json:"idle_seconds,omitempty"`
	LifetimeSeconds float64          `json:"lifetime_seconds,omitempty"`
}

// CreateReply identifies the program of a CreateRequest.
type CreateReply struct {
	Program identity.Program `json:"program"`
	Joined  bool             `json:"joined"` // true if an earlier request created the program
}

// Message is one entry of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CallRequest is the request to submit a call.
type CallRequest struct {
	Target        program.TargetKind `json:"target"`
	Name          string             `json:"name"`
	Adapter       string             `json:"adapter,omitempty"`
	Messages      []Message          `json:"messages,omitempty"` // messages that the call adds to the history
	Operation     string             `json:"operation,omitempty"`
	Payload       []byte             `json:"payload,omitempty"` // base64 in JSON
	MaxTokens     int64              `json:"max_tokens,omitempty"`
	NotRepeatable bool               `json:"not_repeatable,omitempty"`
	DeadlineMS    int64              `json:"deadline_ms,omitempty"` // from now, in milliseconds; 0 selects Limits.DefaultCallTimeout
	Stream        bool               `json:"stream,omitempty"`
}

// CallReply is the state of a call, with its answer if it has one.
type CallReply struct {
	Program  identity.Program  `json:"program"`
	Sequence uint64            `json:"sequence"`
	State    program.CallState `json:"state"`
	Answer   *Answer           `json:"answer,omitempty"`
}

// Answer is the result of a call that was answered.
type Answer struct {
	Content          string `json:"content,omitempty"`
	Payload          []byte `json:"payload,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CachedTokens     int64  `json:"cached_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
	Engine           string `json:"engine,omitempty"`
	FirstTokenMS     int64  `json:"first_token_ms"`
	ElapsedMS        int64  `json:"elapsed_ms"`
}

// Piece is the data of a "content" event: a part of the answer.
type Piece struct {
	Offset  int    `json:"offset"` // in the answer, in bytes
	Content string `json:"content"`
}

// Problem is the body of an error response. Its media type is
// application/problem+json (RFC 9457).
type Problem struct {
	Type              string          `json:"type"` // ProblemTypePrefix followed by the kind
	Title             problem.Kind    `json:"title"`
	Status            int             `json:"status"`
	Detail            string          `json:"detail,omitempty"`
	Outcome           problem.Outcome `json:"outcome,omitempty"`
	RetryAfterSeconds int64           `json:"retry_after_seconds,omitempty"`
	Step              string          `json:"step,omitempty"`
	Peer              string          `json:"peer,omitempty"`
	ReadAt            string          `json:"read_at,omitempty"` // path from which the call's answer can be read later
}

// ProblemTypePrefix is the prefix of Problem.Type.
const ProblemTypePrefix = "urn:thymeloft:problem:"

// History is the committed state of a program.
type History struct {
	Program        identity.Program     `json:"program"`
	Parent         identity.Program     `json:"parent,omitempty"`
	Class          string               `json:"class"`
	State          program.ProgramState `json:"state"`
	EndReason      program.EndReason    `json:"end_reason,omitempty"`
	TokenBudget    int64                `json:"token_budget"`
	MaxTurns       uint64               `json:"max_turns"`
	CreatedAt      time.Time            `json:"created_at"`
	SpentTokens    int64                `json:"spent_tokens"`
	ReservedTokens int64                `json:"reserved_tokens"`
	Calls          []HistoryCall        `json:"calls"`
	Messages       []Message            `json:"messages"`
}

// HistoryCall is one call of a history.
type HistoryCall struct {
	Sequence      uint64             `json:"sequence"`
	Target        program.TargetKind `json:"target"`
	Name          string             `json:"name"`
	Adapter       string             `json:"adapter,omitempty"`
	Operation     string             `json:"operation,omitempty"`
	NotRepeatable bool               `json:"not_repeatable,omitempty"`
	State         program.CallState  `json:"state"`
	AcceptedAt    time.Time          `json:"accepted_at"`
	Attempts      int                `json:"attempts"`
	Answer        *Answer            `json:"answer,omitempty"`
	Problem       *Problem           `json:"problem,omitempty"`
}
