// Package execution runs the calls of programs on the daemon that leads their
// shard. It commits each step to the shard's log, asks the scheduler for a
// placement, sends attempts through package dispatch, and streams answers to
// callers. After a leader change it resumes the previous leader's unfinished calls.
package execution

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// CreateArguments are the arguments of Programs.Create. Repeating a request with
// the same tenant, parent and creation key returns the program created first.
type CreateArguments struct {
	Tenant      identity.Tenant
	CreationKey string
	Parent      identity.Program // empty for a root program
	Class       string
	Limits      program.Limits
}

// CreateReply is the reply of Programs.Create. Joined is true if the program
// already existed under the creation key.
type CreateReply struct {
	Program identity.Program
	Joined  bool
	Problem *problem.Problem
}

// SubmitArguments are the arguments of Programs.Submit. Submitting the same call
// again is safe: it joins the existing call.
type SubmitArguments struct {
	Tenant  identity.Tenant
	Program identity.Program
	Call    program.CallSpec
}

// SubmitReply is the reply of Programs.Submit. A nil Problem means that the call
// is committed to the log. Joined is true if it was already there before the
// request.
type SubmitReply struct {
	Joined  bool
	Problem *problem.Problem
}

// FollowArguments are the arguments of Programs.Follow, which reads a call's
// content from an offset and waits up to Wait if there is nothing new.
type FollowArguments struct {
	Tenant   identity.Tenant
	Program  identity.Program
	Sequence uint64
	Offset   int    // bytes of streamed content that the caller already has
	Attempt  uint32 // FollowReply.Attempt of the content that the caller already has; 0 means the first attempt
	Wait     time.Duration
}

// FollowReply is the reply of Programs.Follow: the next part of a call's answer.
// If another attempt replaces the one whose content the caller has, Restarted is
// true and Content starts at offset 0 and replaces everything that the caller
// has. A caller that has already forwarded content may continue only if Content
// begins with it.
type FollowReply struct {
	Content   string // starts at the requested Offset, or at 0 if Restarted
	Restarted bool
	Attempt   uint32 // number of the attempt that produced Content; pass it with the next Offset
	Done      bool
	State     program.CallState
	Answer    *program.Answer  // set if the call was answered
	Problem   *problem.Problem // if Done, why the call has no answer; if not, why this request failed
}

// EndArguments are the arguments of Programs.End.
type EndArguments struct {
	Tenant  identity.Tenant // empty for an operator, who may end any tenant's program
	Program identity.Program
	Reason  program.EndReason
}

// EndReply is the reply of Programs.End. A nil Problem means that the program
// has ended.
type EndReply struct {
	Problem *problem.Problem
}

// HistoryArguments are the arguments of Programs.History.
type HistoryArguments struct {
	Tenant  identity.Tenant // empty for an operator, who may read any tenant's program
	Program identity.Program
}

// HistoryReply is the reply of Programs.History: the committed state of a program.
type HistoryReply struct {
	Problem   *problem.Problem
	Program   identity.Program
	Parent    identity.Program
	Tenant    identity.Tenant
	Class     string
	State     program.ProgramState
	EndReason program.EndReason
	Limits    program.Limits
	CreatedAt time.Time
	Spent     int64 // tokens spent by the program's own attempts, as far as known
	Reserved  int64 // tokens reserved by attempts whose cost is not known, or charged for sub-agents
	Calls     []program.Call
	Messages  []program.Message
}

// Programs is the interface through which callers use programs. Service
// implements it on the leader of a shard, and routing.Router forwards requests
// to the leader. Failures of a request are reported as the Problem in the reply.
// A non-nil error is a transport error, after which a call may have run.
type Programs interface {
	Create(ctx context.Context, arguments CreateArguments) (CreateReply, error)
	Submit(ctx context.Context, arguments SubmitArguments) (SubmitReply, error)
	Follow(ctx context.Context, arguments FollowArguments) (FollowReply, error)
	End(ctx context.Context, arguments EndArguments) (EndReply, error)
	History(ctx context.Context, arguments HistoryArguments) (HistoryReply, error)
}
