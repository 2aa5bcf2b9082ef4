// Package storerelay lets a daemon call the store through another daemon. It is for the case
// that only this machine cannot reach the store, or that the store refuses or throttles only
// this machine's calls. Each relayed call is sent once. Its error is the one that the other
// daemon got from the store.
package storerelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Store"

// RPC methods of the service.
const (
	methodCommit = ServiceName + ".Commit"
	methodRead   = ServiceName + ".Read"
	methodFeed   = ServiceName + ".Feed"
)

// Outcome is the outcome of a relayed call. It represents the error, which net/rpc cannot
// transfer.
type Outcome uint8

// The outcomes, one for each error of the store that callers distinguish.
const (
	outcomeDone Outcome = iota + 1
	outcomeConflict
	outcomeNotDone
	outcomeUnknown
	outcomeHistoryLost
	outcomeFull
	outcomeThrottled
)

// CommitReply is the reply to a relayed commit.
type CommitReply struct {
	Ending  Outcome
	Version state.Version
	Rows    []state.Row // rows of a state.ConflictError
	Detail  string
}

// ReadReply is the reply to a relayed read.
type ReadReply struct {
	Ending Outcome
	Page   state.Page
	Detail string
}

// FeedRequest contains the arguments of a relayed Feed.
type FeedRequest struct {
	Table string
	After state.Version
	Wait  time.Duration
}

// FeedReply is the reply to a relayed Feed.
type FeedReply struct {
	Ending Outcome
	Change state.FeedResult
	Detail string
}

// callTimeout is the timeout of one relayed call. A feed gets its wait time in addition.
const callTimeout = 900 * time.Millisecond

// Service executes store calls for other daemons over this daemon's direct route to the store.
// It is safe for concurrent use.
type Service struct {
	direct state.Store
	usable func() bool
}

// NewService returns a Service that sends calls to direct. usable reports whether this daemon
// reaches the store directly. While usable returns false, the Service refuses all calls.
func NewService(direct state.Store, usable func() bool) *Service {
	return &Service{direct: direct, usable: usable}
}

// Commit serves a relayed commit. It never returns an error: the outcome is in the reply.
func (s *Service) Commit(commit state.Commit, reply *CommitReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = outcomeNotDone, storeUnreachableDetail
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	version, err := s.direct.Commit(ctx, commit)
	reply.Version = version
	reply.Ending, reply.Detail = outcomeOf(err)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) {
		reply.Rows = conflict.Rows
	}
	return nil
}

// Read serves a relayed read. It never returns an error: the outcome is in the reply.
func (s *Service) Read(selected state.Range, reply *ReadReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = outcomeNotDone, storeUnreachableDetail
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	page, err := s.direct.Read(ctx, selected)
	reply.Page = page
	reply.Ending, reply.Detail = outcomeOf(err)
	return nil
}

// Feed serves a relayed feed. It never returns an error: the outcome is in the reply.
func (s *Service) Feed(request FeedRequest, reply *FeedReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = outcomeNotDone, storeUnreachableDetail
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+callTimeout)
	defer cancel()
	change, err := s.direct.Feed(ctx, request.Table, request.After, request.Wait)
	reply.Change = change
	reply.Ending, reply.Detail = outcomeOf(err)
	return nil
}

// storeUnreachableDetail is the detail of a reply to a call that was not sent to the store.
const storeUnreachableDetail = "the relaying daemon cannot reach the store either"

// outcomeOf returns the outcome that represents an error of the store, and the error's message.
func outcomeOf(err error) (Outcome, string) {
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return outcomeDone, ""
	case errors.As(err, &conflict):
		return outcomeConflict, ""
	case errors.Is(err, state.ErrFull):
		return outcomeFull, err.Error()
	case errors.Is(err, state.ErrThrottled):
		return outcomeThrottled, err.Error()
	case errors.Is(err, state.ErrNotExecuted):
		return outcomeNotDone, err.Error()
	case errors.Is(err, state.ErrHistoryLost):
		return outcomeHistoryLost, err.Error()
	default:
		return outcomeUnknown, err.Error()
	}
}

// errorOf returns the error for an outcome. It matches, with errors.Is or errors.As, the error
// that the other daemon got from the store.
func errorOf(outcome Outcome, detail string, rows []state.Row) error {
	switch outcome {
	case outcomeDone:
		return nil
	case outcomeConflict:
		return &state.ConflictError{Rows: rows}
	case outcomeNotDone:
		return eris.Wrap(state.ErrNotExecuted, detail)
	case outcomeFull:
		return eris.Wrap(state.ErrFull, detail)
	case outcomeThrottled:
		return eris.Wrap(state.ErrThrottled, detail)
	case outcomeHistoryLost:
		return eris.Wrap(state.ErrHistoryLost, detail)
	default:
		return eris.Wrap(state.ErrUnknownOutcome, detail)
	}
}

// Relay implements state.Store by calling other daemons. It is safe for concurrent use.
type Relay struct {
	list       *members.List
	peerClient peer.Client
	seeds      []string
}

// NewRelay returns a Relay that calls the daemons in list. If every other daemon in the list is
// suspected, or there is none, the Relay calls one of the seeds, which are addresses of daemons
// that may be gone. This lets a daemon read the list of members even if it cannot reach the
// store when it starts.
func NewRelay(list *members.List, peerClient peer.Client, seeds []string) *Relay {
	return &Relay{list: list, peerClient: peerClient, seeds: seeds}
}

// suspectDuration is the time in which a daemon that failed to answer is not called again.
const suspectDuration = time.Second

// Commit implements state.Store.
func (r *Relay) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	var reply CommitReply
	if err := r.call(ctx, methodCommit, callTimeout, commit, &reply); err != nil {
		return 0, err
	}
	return reply.Version, errorOf(reply.Ending, reply.Detail, reply.Rows)
}

// Read implements state.Store.
func (r *Relay) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	var reply ReadReply
	if err := r.call(ctx, methodRead, callTimeout, selected, &reply); err != nil {
		return state.Page{}, err
	}
	return reply.Page, errorOf(reply.Ending, reply.Detail, nil)
}

// Feed implements state.Store.
func (r *Relay) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	var reply FeedReply
	request := FeedRequest{Table: table, After: after, Wait: wait}
	if err := r.call(ctx, methodFeed, wait+callTimeout, request, &reply); err != nil {
		return state.FeedResult{}, err
	}
	return reply.Change, errorOf(reply.Ending, reply.Detail, nil)
}

// call sends the request to one other daemon, which differs from call to call. It returns
// ErrNotExecuted if the request was not sent, and ErrUnknownOutcome if it may have been sent
// but got no reply.
func (r *Relay) call(ctx context.Context, method string, timeout time.Duration, request, reply any) error {
	address, reportFailure := r.chooseDaemon(method)
	if address == "" {
		return eris.Wrap(state.ErrNotExecuted, "no other daemon is known")
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.peerClient.Call(callCtx, address, peer.ClassData, method, request, reply)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil {
		reportFailure()
	}
	if errors.Is(err, peer.ErrNotSent) {
		return eris.Wrapf(state.ErrNotExecuted, "relay: %v", err)
	}
	return eris.Wrapf(state.ErrUnknownOutcome, "relay: %v", err)
}

// chooseDaemon returns the address of another daemon, or of a seed if no other daemon is known.
// The caller calls reportFailure if the daemon does not answer. The address is empty if there
// is no daemon to call.
func (r *Relay) chooseDaemon(method string) (address string, reportFailure func()) {
	others := r.list.OtherMembers(method+strconv.FormatInt(time.Now().UnixNano(), 10), 1)
	if len(others) > 0 {
		return others[0].Process.Address, func() { r.list.Suspect(others[0], suspectDuration) }
	}
	noop := func() {}
	self := r.list.Self().Address
	candidates := slices.DeleteFunc(slices.Clone(r.seeds), func(seed string) bool { return seed == self })
	if len(candidates) == 0 {
		return "", noop
	}
	return candidates[rand.IntN(len(candidates))], noop
}
