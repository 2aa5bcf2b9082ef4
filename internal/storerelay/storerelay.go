// Package storerelay lets a daemon reach the store through another one, when
// the store refuses, throttles or cannot be reached by this machine alone.
// Each relayed call is one try; what is certain of it is told truthfully.
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

// ServiceName is the name under which other daemons are asked.
const ServiceName = "Store"

// Methods of the service.
const (
	methodCommit = ServiceName + ".Commit"
	methodRead   = ServiceName + ".Read"
	methodFeed   = ServiceName + ".Feed"
)

// Ending is how a relayed call ended.
type Ending uint8

// The endings.
const (
	endingDone Ending = iota + 1
	endingConflict
	endingNotDone
	endingUnknown
	endingHistoryLost
	endingFull
	endingThrottled
)

// CommitReply answers a relayed commit.
type CommitReply struct {
	Ending  Ending
	Version state.Version
	Rows    []state.Row // of a conflict
	Detail  string
}

// ReadReply answers a relayed read.
type ReadReply struct {
	Ending Ending
	Page   state.Page
	Detail string
}

// FeedRequest asks for changes.
type FeedRequest struct {
	Table string
	After state.Version
	Wait  time.Duration
}

// FeedReply answers a relayed feed.
type FeedReply struct {
	Ending Ending
	Change state.Change
	Detail string
}

// callPatience bounds one relayed call, besides what a feed waits.
const callPatience = 900 * time.Millisecond

// Service answers other daemons with this daemon's own way to the store.
type Service struct {
	direct state.Store
	usable func() bool
}

// NewService makes the service. usable tells whether this daemon itself
// reaches the store directly.
func NewService(direct state.Store, usable func() bool) *Service {
	return &Service{direct: direct, usable: usable}
}

// Commit is called by other daemons.
func (s *Service) Commit(commit state.Commit, reply *CommitReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = endingNotDone, noWay
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	version, err := s.direct.Commit(ctx, commit)
	reply.Version = version
	reply.Ending, reply.Detail = endingOf(err)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) {
		reply.Rows = conflict.Rows
	}
	return nil
}

// Read is called by other daemons.
func (s *Service) Read(selected state.Range, reply *ReadReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = endingNotDone, noWay
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	page, err := s.direct.Read(ctx, selected)
	reply.Page = page
	reply.Ending, reply.Detail = endingOf(err)
	return nil
}

// Feed is called by other daemons.
func (s *Service) Feed(request FeedRequest, reply *FeedReply) error {
	if !s.usable() {
		reply.Ending, reply.Detail = endingNotDone, noWay
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Wait+callPatience)
	defer cancel()
	change, err := s.direct.Feed(ctx, request.Table, request.After, request.Wait)
	reply.Change = change
	reply.Ending, reply.Detail = endingOf(err)
	return nil
}

const noWay = "this daemon does not reach the store either"

func endingOf(err error) (Ending, string) {
	var conflict *state.ConflictError
	switch {
	case err == nil:
		return endingDone, ""
	case errors.As(err, &conflict):
		return endingConflict, ""
	case errors.Is(err, state.ErrFull):
		return endingFull, err.Error()
	case errors.Is(err, state.ErrThrottled):
		return endingThrottled, err.Error()
	case errors.Is(err, state.ErrNotDone):
		return endingNotDone, err.Error()
	case errors.Is(err, state.ErrHistoryLost):
		return endingHistoryLost, err.Error()
	default:
		return endingUnknown, err.Error()
	}
}

// errorOf is the error that the caller's own way would have given.
func errorOf(ending Ending, detail string, rows []state.Row) error {
	switch ending {
	case endingDone:
		return nil
	case endingConflict:
		return &state.ConflictError{Rows: rows}
	case endingNotDone:
		return eris.Wrap(state.ErrNotDone, detail)
	case endingFull:
		return eris.Wrap(state.ErrFull, detail)
	case endingThrottled:
		return eris.Wrap(state.ErrThrottled, detail)
	case endingHistoryLost:
		return eris.Wrap(state.ErrHistoryLost, detail)
	default:
		return eris.Wrap(state.ErrUnknown, detail)
	}
}

// Relay implements state.Store through other daemons.
type Relay struct {
	list   *members.List
	caller peer.Caller
	seeds  []string
}

// NewRelay makes the calling side. The seeds are addresses of daemons, some of which
// may be gone: a daemon that was started while the store turns its machine away knows
// nobody else yet, and reads through them who there is.
func NewRelay(list *members.List, caller peer.Caller, seeds []string) *Relay {
	return &Relay{list: list, caller: caller, seeds: seeds}
}

// suspectWait is how long a daemon that did not relay is not asked again.
const suspectWait = time.Second

// Commit implements state.Store.
func (r *Relay) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	var reply CommitReply
	if err := r.call(ctx, methodCommit, callPatience, commit, &reply); err != nil {
		return 0, err
	}
	return reply.Version, errorOf(reply.Ending, reply.Detail, reply.Rows)
}

// Read implements state.Store.
func (r *Relay) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	var reply ReadReply
	if err := r.call(ctx, methodRead, callPatience, selected, &reply); err != nil {
		return state.Page{}, err
	}
	return reply.Page, errorOf(reply.Ending, reply.Detail, nil)
}

// Feed implements state.Store.
func (r *Relay) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.Change, error) {
	var reply FeedReply
	request := FeedRequest{Table: table, After: after, Wait: wait}
	if err := r.call(ctx, methodFeed, wait+callPatience, request, &reply); err != nil {
		return state.Change{}, err
	}
	return reply.Change, errorOf(reply.Ending, reply.Detail, nil)
}

// call asks one other daemon; which one differs from call to call.
func (r *Relay) call(ctx context.Context, method string, patience time.Duration, request, reply any) error {
	address, failed := r.choose(method)
	if address == "" {
		return eris.Wrap(state.ErrNotDone, "no other daemon is known")
	}
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	err := r.caller.Call(limited, address, peer.Data, method, request, reply)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil {
		failed()
	}
	if errors.Is(err, peer.ErrNotSent) {
		return eris.Wrapf(state.ErrNotDone, "relay: %v", err)
	}
	return eris.Wrapf(state.ErrUnknown, "relay: %v", err)
}

// choose picks another daemon, or a seed while none is known; failed is to be called
// if it does not answer. The address is empty if there is nobody to ask.
func (r *Relay) choose(method string) (address string, failed func()) {
	others := r.list.Others(method+strconv.FormatInt(time.Now().UnixNano(), 10), 1)
	if len(others) > 0 {
		return others[0].Process.Address, func() { r.list.Suspect(others[0], suspectWait) }
	}
	nothing := func() {}
	self := r.list.Self().Address
	usable := slices.DeleteFunc(slices.Clone(r.seeds), func(seed string) bool { return seed == self })
	if len(usable) == 0 {
		return "", nothing
	}
	return usable[rand.IntN(len(usable))], nothing
}
