package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/tenant"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// execution is one request's way through the gateway.
type execution struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table       *routetable.Table
	route       *routetable.Route
	service     *routetable.Service
	tenant      *tenant.Tenant // nil: nobody's, where no key is needed
	call        Call
	input       []byte
	history     *turn.Turn      // that the request goes on from; nil: none
	holding     *memory.Holding // of what is held for this request
	outputHeld  int64           // bytes of output for which, and for whose copies (copiesToSave), room was taken
	taken       *quota.Taken    // place in the tenant's quota; nil: no limit
	reservation budget.Settler
	everywhere  int // parts of the prompt that every engine keeps
	admitted    admittedTurn

	instance  *backend.Instance
	believed  placement // of the instance, when it was chosen
	tries     int       // instances that the request was offered to
	searches  int       // further searches, after all had refused for want of room
	runs      int       // those that may have begun to run it
	firstByte time.Duration
	began     time.Time     // when the first byte arrived
	waited    time.Duration // for the store
	headSent  bool
	status    int
	events    eventReader
}

// When callers are asked to come back.
const (
	comeBackSoon  = 100 * time.Millisecond
	comeBackStore = 400 * time.Millisecond
	// marginToRun is the least time left for which a request is still sent.
	marginToRun = 30 * time.Millisecond
	// heldShare is the part of its time that a request waits at most.
	heldShare = 0.45
	// cutOffPatience is how long a request waits for daemons of its own zone while this one is
	// cut off: several answers of another daemon, a tenth of what callers give a first event.
	cutOffPatience = 200 * time.Millisecond
	// marginToTell is kept so that a final answer arrives within a caller's patience.
	marginToTell = 250 * time.Millisecond
)

// serve runs the steps; each returns *Refusal or *CutError when it fails.
func (e *execution) serve() error {
	defer e.giveBack()
	defer e.letGo()
	if err := e.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.request.Context(), e.arrived.Add(e.allowed()))
	defer cancel()
	if err := e.prepare(ctx); err != nil {
		return err
	}
	if e.reservation != nil {
		defer e.settle()
	}
	if err := e.admitProgram(); err != nil {
		return err
	}
	defer e.leaveProgram()
	reply, err := e.obtain(ctx)
	if err != nil {
		return err
	}
	e.noteFirstByte()
	defer reply.close()
	return e.relay(ctx, reply)
}

// admit finds the route and reads the request.
func (e *execution) admit() error {
	var err error
	e.call, err = e.gateway.Wire.Call(e.request.Header)
	e.table = e.gateway.Routes.Current()
	if e.table == nil {
		return notRun(ReasonNoConfiguration, comeBackStore, eris.New("no configuration was read yet"))
	}
	route, found := e.table.Find(e.request.Host, e.request.URL.Path)
	if !found {
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute, Err: eris.New("no route for host and path")}
	}
	e.route = route
	if denied := e.authenticate(); denied != nil {
		return denied
	}
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: ReasonMalformed, Err: err}
	}
	if err := e.hold(); err != nil {
		return err
	}
	e.service = e.table.Service(route.NextService())
	e.everywhere = e.gateway.Fleet.Sharing.Note(e.scoped(e.call.Program), e.call.Prefix, e.service.MemoryTokens)
	e.events.collect = route.Recorded
	if err := e.takeQuota(); err != nil {
		return err
	}
	return e.readInput()
}

// allowed is how long the request may take from its arrival.
func (e *execution) allowed() time.Duration {
	allowed := e.route.Timeout
	if e.call.Deadline > 0 && (allowed <= 0 || e.call.Deadline < allowed) {
		allowed = e.call.Deadline
	}
	if allowed <= 0 {
		const unlimited = time.Hour
		allowed = unlimited
	}
	return allowed
}

func (e *execution) remaining() time.Duration { return e.allowed() - time.Since(e.arrived) }

// prepare gets what the turn needs of the store before it may run: a reservation of
// its program's budget, and its history. Who holds the budget hears of all turns of the
// program, and tells which daemon has the one before.
func (e *execution) prepare(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, e.storePatience())
	defer cancel()
	if e.route.Recorded {
		// It can't be served here once this daemon is cut off: in another zone it can.
		stop := context.AfterFunc(e.gateway.Reach.Connected(), cancel)
		defer stop()
	}
	start := time.Now()
	defer func() {
		if waited := time.Since(start); waited > time.Millisecond {
			e.waited = waited
		}
	}()
	if e.beginsWithoutRoom() {
		return e.unprepared(ctx, eris.Wrap(state.ErrFull, "begin a program"))
	}
	if e.route.Recorded {
		// A turn that cannot be recorded is not begun.
		if err := e.gateway.Availability.Wait(wait); err != nil {
			return e.unprepared(ctx, eris.Wrap(err, "wait for the store"))
		}
	}
	if err := e.reserve(wait); err != nil {
		return e.unprepared(ctx, err)
	}
	if err := e.loadHistory(wait); err != nil {
		e.returnReservation()
		return e.unprepared(ctx, err)
	}
	if err := e.holdTurn(); err != nil {
		e.returnReservation()
		return err
	}
	return nil
}

// returnReservation gives back what was reserved for a turn that does not run.
func (e *execution) returnReservation() {
	if e.reservation != nil {
		e.reservation.Settle(0)
	}
}

// storePatience is how long a request may wait for the store before it runs:
// less than half of its time, so that a caller that is refused has time to
// come back.
func (e *execution) storePatience() time.Duration {
	patience := min(e.remaining()-marginToTell, time.Duration(heldShare*float64(e.allowed())))
	if e.route.Streaming && e.route.Patience > 0 {
		patience = min(patience, e.route.Patience-marginToTell)
	}
	if e.gateway.Reach.CutOff() {
		patience = min(patience, cutOffPatience)
	}
	return max(patience, 0)
}

// beginsWithoutRoom tells whether a program would begin that the store has no room for:
// what room there is belongs to those under way. One at a time begins, to find out.
func (e *execution) beginsWithoutRoom() bool {
	return e.route.Recorded && e.call.Previous == "" && !e.gateway.Room.Probe()
}

func (e *execution) loadHistory(ctx context.Context) error {
	if !e.route.Recorded || e.call.Previous == "" {
		return nil
	}
	keptAt := ""
	if e.reservation != nil {
		keptAt = e.reservation.KeptAt()
	}
	history, err := e.gateway.Turns.Load(ctx, e.scoped(e.call.Previous), keptAt)
	e.history = history
	return err
}

func (e *execution) reserve(ctx context.Context) error {
	if e.call.Program == "" || e.call.Budget <= 0 || e.call.MostTokens <= 0 {
		return nil
	}
	reservation, err := e.gateway.Budgets.Reserve(ctx, budget.ReserveRequest{
		Reservation: e.scoped(e.call.ID), Program: e.scoped(e.call.Program), Total: e.call.Budget, Most: e.call.MostTokens, Parts: partNames(e.call.Prefix),
		Previous: e.scoped(e.call.Previous),
	})
	if err != nil {
		return err
	}
	e.reservation = reservation
	e.rememberReader()
	return nil
}

// rememberReader takes over which engine read the prompt's parts, as the holder of
// the budget knows: earlier turns may have come through other daemons.
func (e *execution) rememberReader() {
	engine, read := e.reservation.ReadAt()
	if engine == "" || e.gateway.Off.Has(mechanism.Trails) || read > len(e.call.Prefix) {
		return
	}
	for _, instance := range e.gateway.Fleet.Of(e.service.Name) {
		if instance.ID == engine {
			instance.Remember(e.call.Prefix[:read])
		}
	}
}

func partNames(parts []backend.PromptPart) []string {
	names := make([]string, len(parts))
	for index, part := range parts {
		names[index] = part.Name
	}
	return names
}

// settle gives back what the turn did not generate.
func (e *execution) settle() {
	if e.instance != nil && e.events.begun() > 0 {
		e.reservation.RanAt(e.instance.ID)
	}
	e.reservation.Settle(int64(e.events.begun() * e.service.TokensPerEvent))
}

// unprepared turns an error before the request was sent into a final answer.
func (e *execution) unprepared(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, turn.ErrNotFound):
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonUnknownTurn, Err: err}
	case errors.Is(err, turn.ErrUnsure):
		return notRun(ReasonUnsureTurn, comeBackStore, err)
	case e.gateway.Reach.CutOff(): // also where a wait that was given up reads as a spent budget
		return notRun(ReasonCutOff, e.gateway.Reach.Back(), err)
	case errors.Is(err, budget.ErrSpent):
		return &Refusal{Status: http.StatusPaymentRequired, Reason: ReasonBudget, Err: err}
	case e.request.Context().Err() != nil:
		return &CutError{Reason: ReasonCallerLeft, Err: err}
	case errors.Is(err, state.ErrFull):
		return notRun(ReasonStoreFull, comeBackFull(e.gateway.Room.FullFor()), err)
	case ctx.Err() != nil:
		return notRun(ReasonDeadline, 0, err)
	case errors.Is(err, state.ErrThrottled):
		return notRun(ReasonStoreRate, comeBackRate(), err)
	default:
		return notRun(ReasonStore, comeBackStore, err)
	}
}
