package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/beginning"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/engineloss"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/tenant"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// execution is the state of one request while the gateway serves it. It is used by one
// goroutine only.
type execution struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	table             *routetable.Table
	tableAge          time.Duration // time since the store confirmed the table, when it was taken
	isTableConfirmed  bool          // whether the store had confirmed the table at all
	instancesAge      time.Duration // time since the store last confirmed the list of instances, when the table was taken
	hasInstancesAge   bool          // whether the store had confirmed that list at all
	route             *routetable.Route
	service           *routetable.Service
	tenant            *tenant.Tenant // nil if the request belongs to no tenant
	call              Call
	input             []byte
	history           *turn.Turn          // the turn that the request continues; nil if none
	memoryReservation *memory.Reservation // memory accounted for this request
	reservedOutput    int64               // bytes of output for which memory has been reserved, not counting copiesWhileSaving
	quotaPermit       *quota.Permit       // permit from the tenant's quota; nil if there is no limit
	reservation       budget.Settler      // tokens reserved from the program's budget; nil if none
	originRecordedAt  time.Time           // when the origin of the stream was last recorded; zero if it was not
	boundVersion      *string             // software version that began the stream which the request continues; nil if it starts one
	streamOrigin      string              // the attempt that brought the first event of the recorded stream which the request continues; empty if it starts one
	relayed           *beginning.Relayed  // nil unless what is relayed is kept for whoever continues the stream
	sharedParts       int                 // number of leading prompt parts assumed to be in the prefix cache of every engine
	admitted          admittedTurn

	instance         *backend.Instance       // the instance that was tried last
	placement        placement               // state of the instance when it was chosen
	tries            int                     // attempts to send the request, in all searches
	repeatedSearches int                     // searches after the first one; each was needed because all instances were full
	runs             int                     // attempts in which the instance may have run the request
	sentConnections  backend.SentConnections // connections to instances on which the request was sent
	silentSince      time.Time               // when the last attempt began that ended without an answer within its time; zero if none did
	timeToFirstByte  time.Duration           // from sending the request to the first byte of its answer
	firstByteAt      time.Time               // when the first byte of the answer arrived
	lastReadAt       time.Time               // when bytes of the answer arrived last
	storeWait        time.Duration           // time spent in prepare, mostly waiting for the store; 0 if it took 1 ms or less
	headSent         bool                    // whether status and headers were written to the caller
	status           int                     // status written to the caller
	events           eventReader             // events relayed to the caller
	hasReply         bool                    // whether an engine began to answer
	framing          answer.Framing          // how the engine marks the end of its answer, if hasReply is set
	ending           answer.Ending           // what is known about the end of the engine's answer
	losses           int                     // instances whose connections ended while they may have been running the request
	currentWork      engineloss.Work         // see work; valid if hasWork is set
	hasWork          bool
	permit           *engineloss.Permit // nil until the attempt at the work has begun
}

const (
	// shortRetryAfter is the delay after which callers should retry if the reason for the refusal
	// may soon pass, such as full engines.
	shortRetryAfter = 100 * time.Millisecond
	// storeRetryAfter is the delay after which callers should retry if the store, the
	// configuration or an engine is unavailable.
	storeRetryAfter = 400 * time.Millisecond
	// minTimeToSend is the minimum time that must be left for a request to be sent.
	minTimeToSend = 30 * time.Millisecond
	// maxStoreWaitShare is the maximum share of a request's time limit that it may spend waiting
	// before it is sent.
	maxStoreWaitShare = 0.45
	// maxCutOffWait bounds how long a request waits for daemons of its own zone while this
	// daemon is cut off from the store and the other zones. It is several times the response
	// time of a daemon, and short compared with how long callers wait for a first event.
	maxCutOffWait = 200 * time.Millisecond
	// answerMargin is subtracted from waits so that the final answer still reaches the caller
	// before the caller gives up.
	answerMargin = 250 * time.Millisecond
)

// serve runs all steps of the request. The error is a *Refusal or an *AbortedError.
func (e *execution) serve() error {
	defer e.returnQuota()
	defer e.releaseMemory()
	if err := e.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(e.request.Context(), e.arrived.Add(e.timeLimit()))
	defer cancel()
	isDone := false
	defer func() { e.endWork(isDone) }()
	if err := e.beginWork(ctx); err != nil {
		return err
	}
	if err := e.bindToOrigin(ctx); err != nil {
		return err
	}
	if err := e.loadBeginning(ctx); err != nil {
		return err
	}
	if err := e.prepare(ctx); err != nil {
		return err
	}
	if e.reservation != nil {
		defer e.settleBudget()
	}
	if err := e.admitProgram(); err != nil {
		return err
	}
	defer e.leaveAdmission()
	reply, err := e.obtainReply(ctx)
	if err != nil {
		return err
	}
	e.reportFirstByte()
	defer reply.close()
	err = e.relay(ctx, reply)
	isDone = err == nil && e.hasDoneWork(ctx, reply)
	return err
}

// admit reads the headers, finds the route, authenticates the caller, takes a permit from the
// quota, and reads the body. The error is a *Refusal or an *AbortedError.
func (e *execution) admit() error {
	var err error
	e.call, err = e.gateway.HeaderCodec.ParseCall(e.request.Header)
	e.takeTable()
	if e.table == nil {
		return notRunRefusal(ReasonNoConfiguration, storeRetryAfter, eris.New("no configuration has been loaded yet"))
	}
	route, found := e.table.Find(e.request.Host, e.request.URL.Path)
	if !found {
		denial := &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute, Err: eris.New("no route matches the host and path")}
		return e.denyByConfiguration(denial, ReasonUncertainRoute)
	}
	e.route = route
	if authErr := e.authenticate(); authErr != nil {
		return authErr
	}
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: ReasonMalformed, Err: err}
	}
	if err := e.refuseIfStopping(); err != nil {
		return err
	}
	if err := e.reserveMemory(); err != nil {
		return err
	}
	e.service = e.table.Service(route.NextService())
	e.sharedParts = e.gateway.Fleet.SharedParts.Record(e.tenantScoped(e.call.Program), e.call.Prefix, e.service.MemoryTokens)
	e.events.collect, e.events.mark = route.Recorded, e.keepsBeginning()
	if err := e.takeQuota(); err != nil {
		return err
	}
	return e.readInput()
}

// takeTable takes the table by which the request is decided, together with the age of that table: a
// later confirmation may be one of another table.
func (e *execution) takeTable() {
	view := e.gateway.Routes.View()
	e.table = view.Table
	e.tableAge, e.isTableConfirmed = view.Age()
	e.instancesAge, e.hasInstancesAge = e.gateway.InstancesAge()
}

// timeLimit returns how long the request may take from its arrival: the shorter of the route's
// timeout and the caller's deadline, or an hour if there is neither.
func (e *execution) timeLimit() time.Duration {
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

// remaining returns how much of the time limit is left; it is negative after the deadline.
func (e *execution) remaining() time.Duration { return e.timeLimit() - time.Since(e.arrived) }

// prepare does what must be done before a turn is sent. It reserves tokens from the program's
// budget, loads the history and reserves memory; for a turn that is to be recorded it first
// waits until the store is available. The budget comes before the history because the
// reservation names the daemon that has the previous turn in memory. The error is a *Refusal
// or an *AbortedError.
func (e *execution) prepare(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, e.maxPreparationWait())
	defer cancel()
	if e.route.Recorded {
		// Stops waiting if this daemon gets cut off, so that the caller can retry in another zone.
		stop := context.AfterFunc(e.gateway.Connectivity.Connected(), cancel)
		defer stop()
	}
	start := time.Now()
	defer func() {
		if waited := time.Since(start); waited > time.Millisecond {
			e.storeWait = waited
		}
	}()
	if e.isNewProgramWithoutSpace() {
		return e.preparationError(ctx, eris.Wrap(state.ErrFull, "start a program"))
	}
	if e.route.Recorded {
		// A turn that could not be recorded afterwards must not be executed.
		if err := e.gateway.Availability.Wait(waitCtx); err != nil {
			return e.preparationError(ctx, eris.Wrap(err, "wait for the store"))
		}
	}
	if err := e.reserveBudget(waitCtx); err != nil {
		return e.preparationError(ctx, err)
	}
	if err := e.loadHistory(waitCtx); err != nil {
		e.cancelReservation()
		return e.preparationError(ctx, err)
	}
	if err := e.reserveTurnMemory(); err != nil {
		e.cancelReservation()
		return err
	}
	return nil
}

// cancelReservation returns all reserved tokens to the budget, for a turn that will not be
// executed.
func (e *execution) cancelReservation() {
	if e.reservation != nil {
		e.reservation.Settle(0)
	}
}

// maxPreparationWait returns how long the request may wait for the store, an engine or its quota
// before it is sent. This is less than half of the time limit, so that a refused caller has
// time to retry, and on streaming routes less than the route's MaxStreamGap. While this daemon
// is cut off, it is at most maxCutOffWait.
func (e *execution) maxPreparationWait() time.Duration {
	wait := min(e.remaining()-answerMargin, time.Duration(maxStoreWaitShare*float64(e.timeLimit())))
	if e.route.Streaming && e.route.MaxStreamGap > 0 {
		wait = min(wait, e.route.MaxStreamGap-answerMargin)
	}
	if e.gateway.Connectivity.CutOff() {
		wait = min(wait, maxCutOffWait)
	}
	return max(wait, 0)
}

// isNewProgramWithoutSpace reports whether the request must be refused because it would start a
// recorded conversation while the store is full. The remaining space is left to conversations
// that have started. From time to time one request is let through nevertheless, to find out
// whether there is space again.
func (e *execution) isNewProgramWithoutSpace() bool {
	return e.route.Recorded && e.call.Previous == "" && !e.gateway.StoreSpace.AllowWrite()
}

// loadHistory loads the turn that the request continues, if there is one. Turns.Load first asks the
// daemon that has recorded this turn, if the budget reservation names one.
func (e *execution) loadHistory(ctx context.Context) error {
	if !e.route.Recorded || e.call.Previous == "" {
		return nil
	}
	address := ""
	if e.reservation != nil {
		address = e.reservation.RecorderAddress()
	}
	history, err := e.gateway.Turns.Load(ctx, e.tenantScoped(e.call.Previous), address)
	e.history = history
	return err
}

// reserveBudget reserves Call.MaxTokens from the budget of the program. It does nothing if the
// caller did not give the program, its budget or MaxTokens.
func (e *execution) reserveBudget(ctx context.Context) error {
	if e.call.Program == "" || e.call.Budget <= 0 || e.call.MaxTokens <= 0 {
		return nil
	}
	reservation, err := e.gateway.Budgets.Reserve(ctx, budget.ReserveRequest{
		Reservation: e.tenantScoped(e.call.ID), Program: e.tenantScoped(e.call.Program), Total: e.call.Budget, Most: e.call.MaxTokens, Parts: partNames(e.call.Prefix),
		Previous: e.tenantScoped(e.call.Previous), Unscoped: e.unscopedProgram(),
	})
	if err != nil {
		return err
	}
	e.reservation = reservation
	e.recordCachedPrefix()
	return nil
}

// recordCachedPrefix takes the engine that has already read the beginning of the prompt from the
// budget reservation, and notes it for placement. This daemon may not know the engine itself,
// since earlier turns may have come through other daemons.
func (e *execution) recordCachedPrefix() {
	engine, readParts := e.reservation.CachedPrefix()
	if engine == "" || e.gateway.DisabledMechanisms.Has(mechanism.TurnLocations) || readParts > len(e.call.Prefix) {
		return
	}
	for _, instance := range e.gateway.Fleet.Instances(e.service.Name) {
		if instance.ID == engine {
			instance.RecordPrefix(e.call.Prefix[:readParts])
		}
	}
}

// partNames returns the names of the prompt parts in their order.
func partNames(parts []backend.PromptPart) []string {
	names := make([]string, len(parts))
	for index, part := range parts {
		names[index] = part.Name
	}
	return names
}

// settleBudget charges the program's budget for the tokens that the turn generated, and
// returns the rest of the reservation.
func (e *execution) settleBudget() {
	if e.instance != nil && e.events.countWithPartial() > 0 {
		e.reservation.SetEngine(e.instance.ID)
	}
	e.reservation.Settle(int64(e.events.countWithPartial() * e.service.TokensPerEvent))
}

// preparationError returns the *Refusal or *AbortedError for an error that occurred before the
// request was sent.
func (e *execution) preparationError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, turn.ErrNotFound):
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonUnknownTurn, Err: err}
	case errors.Is(err, turn.ErrUncertain):
		return notRunRefusal(ReasonUncertainTurn, storeRetryAfter, err)
	case e.gateway.Connectivity.CutOff(): // before ErrSpent, which an aborted wait may return as well
		return notRunRefusal(ReasonCutOff, e.gateway.Connectivity.RetryAfter(), err)
	case errors.Is(err, budget.ErrSpent):
		return &Refusal{Status: http.StatusPaymentRequired, Reason: ReasonBudgetSpent, Err: err}
	case e.callerHasLeft():
		return &AbortedError{Reason: ReasonCallerDisconnected, Err: err}
	case errors.Is(err, state.ErrFull):
		return notRunRefusal(ReasonStoreFull, fullStoreRetryAfter(e.gateway.StoreSpace.FullDuration()), err)
	case ctx.Err() != nil:
		return notRunRefusal(ReasonDeadline, 0, err)
	case errors.Is(err, turn.ErrNoMemory):
		return memoryRefusal(err)
	case errors.Is(err, state.ErrThrottled):
		return notRunRefusal(ReasonStoreRateLimited, storeRateRetryAfter(), err)
	default:
		return notRunRefusal(ReasonStoreUnavailable, storeRetryAfter, err)
	}
}
