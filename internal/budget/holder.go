package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

// Service is the name under which a holder is called by other daemons.
const Service = "Budget"

// Methods of the service.
const (
	methodReserve = Service + ".Reserve"
	methodSettle  = Service + ".Settle"
)

// ReserveRequest asks a holder for what a turn may generate.
type ReserveRequest struct {
	Reservation string // names it; asking again with the same name is harmless
	Program     string
	Total       int64
	Most        int64
	Parts       []string // of the turn's prompt, in order
	Previous    string   // the turn that this one goes on from; empty: none
	// Soon: another holder is asked where this one's store is away, so it is not waited for.
	Soon bool
}

func (r *ReserveRequest) question() reserveNeed {
	return reserveNeed{turnNeed: turnNeed{program: r.Program, total: r.Total, most: r.Most}, soon: r.Soon}
}

// Result is a holder's verdict.
type Result uint8

// The verdicts.
const (
	resultReserved Result = iota + 1
	resultSpent
	resultNoStore
	resultStopping
)

// ReserveReply is a holder's answer.
type ReserveReply struct {
	Result   Result
	Detail   string
	Attained int64  // tokens that the program generated before
	Engine   string // that read the longest part of the prompt; empty: not known
	Read     int    // parts that it read
	KeptAt   string // address of the daemon that recorded the previous turn; empty: not known
}

// SettleRequest tells a holder what a turn generated.
type SettleRequest struct {
	Reservation string
	Generated   int64
	Ran         Ran
}

// Ran tells where a turn ran.
type Ran struct {
	Program string
	Engine  string // empty: nowhere
	Part    string // the last of the prompt
	Turn    string // that was recorded; empty: none was
	Daemon  string // address of the daemon that recorded it
}

// SettleReply is empty.
type SettleReply struct{}

// Holder answers other daemons of the region for the programs whose budgets this
// daemon holds.
type Holder struct {
	ledger   *Ledger
	stopping func() bool

	mutex sync.Mutex // between the end of a reservation and its settlement
	open  *expirable.LRU[string, *Reservation]
	// early are settlements that came before their reservation was made: who asked
	// had no answer in time, and gave it up while this daemon still waited.
	early *expirable.LRU[string, int64]
}

const (
	reservationsKept    = 4096
	reservationsKeptFor = 2 * time.Minute
	// holderWait is how long a holder waits for its store, and for turns under
	// way, before it answers; who asks waits a little longer (answerWait).
	holderWait = 250 * time.Millisecond
)

// NewHolder makes the service.
func NewHolder(ledger *Ledger, stopping func() bool) *Holder {
	return &Holder{
		ledger: ledger, stopping: stopping,
		open:  expirable.NewLRU[string, *Reservation](reservationsKept, nil, reservationsKeptFor),
		early: expirable.NewLRU[string, int64](reservationsKept, nil, reservationsKeptFor),
	}
}

// Reserve is called by other daemons.
func (h *Holder) Reserve(request ReserveRequest, reply *ReserveReply) error {
	if h.stopping() {
		reply.Result = resultStopping
		return nil
	}
	reply.Engine, reply.Read = h.ledger.trails.find(request.Program, request.Parts)
	reply.KeptAt = h.ledger.trails.keptAt(request.Program, request.Previous)
	if reservation, known := h.open.Get(request.Reservation); known {
		reply.Result, reply.Attained = resultReserved, reservation.Attained()
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), holderWait)
	defer cancel()
	reservation, err := h.ledger.reserve(ctx, request.question())
	var spent *SpentError
	switch {
	case err == nil && h.keep(request.Reservation, reservation):
		reply.Result, reply.Attained = resultReserved, reservation.Attained()
	case err == nil:
		reply.Result, reply.Detail = resultNoStore, "the reservation was settled before it was made"
	case errors.As(err, &spent):
		reply.Result, reply.Detail = resultSpent, spent.Error()
	case errors.Is(err, ErrSpent):
		reply.Result, reply.Detail = resultSpent, "turns under way hold the rest"
	default:
		reply.Result, reply.Detail = resultNoStore, err.Error()
	}
	return nil
}

// keep holds a reservation until it is settled; false if it was settled already.
func (h *Holder) keep(name string, reservation *Reservation) bool {
	h.mutex.Lock()
	generated, settled := h.early.Get(name)
	if !settled {
		h.open.Add(name, reservation)
	}
	h.mutex.Unlock()
	if settled {
		reservation.Settle(generated)
	}
	return !settled
}

// Settle is called by other daemons, perhaps more than once.
func (h *Holder) Settle(request SettleRequest, _ *SettleReply) error {
	h.ledger.trails.settled(request.Ran)
	if reservation := h.settled(request); reservation != nil {
		reservation.Settle(request.Generated)
	}
	return nil
}

// settled returns the reservation that ends, or remembers that it is to end at once.
func (h *Holder) settled(request SettleRequest) *Reservation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reservation, known := h.open.Get(request.Reservation)
	if !known {
		h.early.Add(request.Reservation, request.Generated)
		return nil
	}
	h.open.Remove(request.Reservation)
	return reservation
}
