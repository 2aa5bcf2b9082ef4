package budget

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Bounds of what is asked of a holder.
const (
	answerWait = 400 * time.Millisecond
	// A settlement that is lost keeps a program's tokens reserved: it is told again,
	// over a few seconds, in which a holder that was busy or cut off may be back.
	settleWait  = time.Second
	settleTries = 3
	settlePause = 500 * time.Millisecond
	suspectWait = time.Second      // a holder that did not answer is passed over
	leavingWait = 10 * time.Second // and one that stops
)

// Settler ends a reservation.
type Settler interface {
	// Attained is how many tokens the program generated before, as far as the
	// holder of its budget knows. It is a hint.
	Attained() int64
	// ReadAt is the engine that read the longest part of the turn's prompt, and how
	// many of its parts; "" if that is not known. It is a hint.
	ReadAt() (engine string, parts int)
	// KeptAt is the address of the daemon that recorded the turn that this one goes on
	// from; "" if that is not known. It is a hint.
	KeptAt() string
	// RanAt tells where the turn ran. It is to be called before Settle.
	RanAt(engine string)
	// Recorded tells that this daemon recorded the turn. It is to be called before Settle.
	Recorded(turn string)
	// Settle gives back what was not generated; only the first call counts.
	Settle(generated int64)
}

// Shared reserves at the daemon of the region that holds a program's budget, so
// that all daemons of the region spend one grant, and needs no store while that
// lasts. A holder that does not answer is passed over; then this daemon takes
// a grant of its own, which the store keeps within the budget.
type Shared struct {
	ledger *Ledger
	list   *members.List
	caller peer.Caller
	store  *state.Availability
	log    *zap.Logger
	// Alone makes this daemon hold what it spends itself; for experiments.
	Alone bool
	// Near lets the holders of each zone hold what turns that come through it spend, so that a zone that is
	// cut off goes on with the programs that entered there, and a reservation is a hop less far. What a program is
	// granted comes from the same rows of the store, and one daemon of all lends, so that its budget bounds
	// the zones together; each asks the others to give back before it says that the budget is spent.
	Near bool
}

// NewShared makes the reserving side.
func NewShared(ledger *Ledger, list *members.List, caller peer.Caller, store *state.Availability, log *zap.Logger) *Shared {
	made := &Shared{ledger: ledger, list: list, caller: caller, store: store, log: log}
	ledger.reclaim = made.Reclaim
	return made
}

// Reserve takes the most that a turn may generate from its program's budget.
// The reservation's name must be its own. The parts are those of the turn's prompt.
func (s *Shared) Reserve(ctx context.Context, request ReserveRequest) (Settler, error) {
	name := request.Reservation
	for question := 1; ; question++ {
		settler, err := s.reserveOnce(ctx, request)
		if !errors.Is(err, errNoStore) || ctx.Err() != nil {
			return settler, err
		}
		if err := s.store.Wait(ctx); err != nil || !pause.For(ctx, noStorePause) {
			return nil, errNoStore
		}
		// A new name: the settlement of a question without answer may come late.
		request.Reservation = fmt.Sprintf("%s/%d", name, question)
	}
}

// reserveOnce asks the holders of the region, or those of this zone and then, if the program's
// budget is spent there or their store is away, the one holder that may lend to it.
func (s *Shared) reserveOnce(ctx context.Context, request ReserveRequest) (Settler, error) {
	near, apart := s.list.HomesNear(request.Program)
	if s.Alone || !s.Near || !apart {
		return s.reserveAmong(ctx, s.list.Homes(request.Program), request)
	}
	return s.reserveNear(ctx, near, request)
}

// Endings of a reservation's name, by who is asked after the holders of the own zone.
const (
	atRegion  = "/region"
	nearAgain = "/near"
)

// reserveNear asks the holders of this zone; and where these have nothing left, or can't know, the first of the region.
func (s *Shared) reserveNear(ctx context.Context, near members.Homes, request ReserveRequest) (Settler, error) {
	homes := s.list.Homes(request.Program)
	first := homes.At(0) // this daemon lives at least
	if first.Process == near.At(0).Process {
		return s.reserveAmong(ctx, near, request)
	}
	soon := request
	soon.Soon = true
	settler, err := s.reserveAmong(ctx, near, soon)
	spent := errors.Is(err, ErrSpent)
	undecided := spent || errors.Is(err, errNoStore) || state.NoVerdict(err)
	if settler != nil || ctx.Err() != nil || !undecided {
		return settler, err
	}
	// Another name: a late settlement of one holder's reservation is not to end another's.
	request.Reservation += atRegion
	settler, elsewhere := s.reserveAt(ctx, first, request)
	switch {
	case elsewhere == nil, errors.Is(elsewhere, ErrSpent), errors.Is(elsewhere, errNoStore), ctx.Err() != nil:
		return settler, elsewhere
	case spent:
		return nil, err
	default: // it gave no answer: the store is waited for here
		request.Reservation += nearAgain
		return s.reserveAmong(ctx, near, request)
	}
}

// reserveAt asks one holder, or this daemon's own ledger.
func (s *Shared) reserveAt(ctx context.Context, holder members.Member, request ReserveRequest) (Settler, error) {
	if holder.Process == s.list.Self() {
		return s.reserveHere(ctx, request)
	}
	return s.ask(ctx, holder, request)
}

// reserveAmong asks holders in their order, down to this daemon's own ledger.
func (s *Shared) reserveAmong(ctx context.Context, homes members.Homes, request ReserveRequest) (Settler, error) {
	var unanswered []identity.Zone // other zones in which a holder gave no answer
	for order := range homes.Len() {
		home := homes.At(order)
		if s.Alone || home.Process == s.list.Self() {
			break
		}
		zone := home.Process.Zone
		if s.list.Silent(home) || slices.Contains(unanswered, zone) {
			continue // the zone may be cut off: one wait is enough
		}
		settler, err := s.ask(ctx, home, request)
		if settler != nil || errors.Is(err, ErrSpent) || errors.Is(err, errNoStore) || ctx.Err() != nil {
			return settler, err
		}
		if zone != s.list.Self().Zone && !errors.Is(err, errStopping) {
			unanswered = append(unanswered, zone)
		}
	}
	return s.reserveHere(ctx, request)
}

func (s *Shared) reserveHere(ctx context.Context, request ReserveRequest) (Settler, error) {
	reservation, err := s.ledger.reserve(ctx, request.question())
	if err != nil {
		return nil, err
	}
	engine, read := s.ledger.trails.find(request.Program, request.Parts)
	told := place{
		request: request, engine: engine, read: read,
		keptAt: s.ledger.trails.keptAt(request.Program, request.Previous), self: s.list.Self().Address,
	}
	return &local{Reservation: reservation, trails: s.ledger.trails, place: told}, nil
}

// ask returns a settler, or ErrSpent, or errNoStore, or another error if the
// holder did not answer.
func (s *Shared) ask(ctx context.Context, home members.Member, request ReserveRequest) (Settler, error) {
	limited, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	var reply ReserveReply
	err := s.caller.Call(limited, home.Process.Address, peer.Control, methodReserve, request, &reply)
	granted := &remote{shared: s, home: home, place: place{request: request, self: s.list.Self().Address}}
	if err != nil {
		if ctx.Err() == nil {
			s.list.Missed(home)
			s.avoid(home, suspectWait, err.Error())
		}
		if !errors.Is(err, peer.ErrNotSent) {
			granted.Settle(0) // it may have reserved all the same
		}
		return nil, err
	}
	s.list.Trust(home)
	switch reply.Result {
	case resultReserved:
		granted.attained = reply.Attained
		granted.engine, granted.read = reply.Engine, reply.Read
		granted.keptAt = reply.KeptAt
		return granted, nil
	case resultSpent:
		return nil, &HeldError{Holder: string(home.Process.Machine), Detail: reply.Detail}
	case resultStopping:
		s.avoid(home, leavingWait, "stopping")
		return nil, errStopping
	default:
		return nil, eris.Wrapf(errNoStore, "holder %s: %s", home.Process.Machine, reply.Detail)
	}
}

var errNoStore = errors.New("the holder of the budget does not reach the store")

// noStorePause spreads the calls after an outage.
const noStorePause = 20 * time.Millisecond

var errStopping = errors.New("the holder is stopping")

// HeldError is ErrSpent as a holder told it.
type HeldError struct{ Holder, Detail string }

// Error implements error.
func (e *HeldError) Error() string { return ErrSpent.Error() + " at " + e.Holder + ": " + e.Detail }

// Is makes it an ErrSpent.
func (e *HeldError) Is(target error) bool { return target == ErrSpent }

func (s *Shared) avoid(home members.Member, wait time.Duration, cause string) {
	s.list.Suspect(home, wait)
	s.log.Warn("budget: holder passed over.", zap.String("holder", string(home.Process.Machine)), zap.Duration("for", wait), zap.String("cause", cause))
}
