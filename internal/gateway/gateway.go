package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/admission"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// Options are the dependencies and settings of a Gateway.
type Options struct {
	Zone        string // zone of this daemon
	HeaderCodec HeaderCodec
	Routes      *routetable.Holder
	Fleet       *backend.Fleet
	Turns       *turn.Repository
	Budgets     Budgets
	Quotas      *quota.Limiter
	// Origins and SoftwareVersions determine which instances may continue a stream.
	Origins          Origins
	SoftwareVersions SoftwareVersions
	// Beginnings keeps what was relayed of streams that are recorded and may be continued.
	Beginnings Beginnings
	// EngineLosses limits how many engines may end under one piece of work.
	EngineLosses EngineLosses
	// Admission limits the number of programs that run at the same time; nil means no limit.
	Admission    *admission.Controller
	Availability *state.Availability
	// Memory accounts for the bytes held for callers; nil means neither counting nor limits.
	Memory *memory.Account
	// Connectivity reports whether this daemon is cut off from the store and the other zones; nil
	// means that it never is.
	Connectivity *reach.Monitor
	// StoreSpace reports whether the store is full.
	StoreSpace *state.SpaceTracker
	Log        *zap.Logger
	Metrics    *Metrics
	// InstanceGrace is how long an instance may still be used after its registry entry is gone.
	// It is used only if no other instance is available.
	InstanceGrace time.Duration
	// DisabledMechanisms lists mechanisms that are disabled for an experiment.
	DisabledMechanisms mechanism.Disabled
	// MaxConfigurationAge is the maximum age of the configuration for denying what it does not
	// contain: an unknown route with status 404, or an unknown key with status 401.
	MaxConfigurationAge time.Duration
	// CutsAt returns whether the process is stopping, and when it cuts the requests that are left; nil means
	// that it never stops.
	CutsAt func() (at time.Time, isStopping bool)
	// InstancesAge returns how long ago the list of instances was last confirmed by the store, and
	// whether it has been at all.
	InstancesAge func() (age time.Duration, isConfirmed bool)
}

// Budgets reserves tokens for a turn from the budget of its program.
type Budgets interface {
	// Reserve reserves tokens for a turn. It returns budget.ErrSpent if the budget has none left.
	Reserve(ctx context.Context, request budget.ReserveRequest) (budget.Settler, error)
}

// Gateway is the HTTP handler for callers' requests. It is safe for concurrent use.
type Gateway struct {
	Options
	recentPrograms *recentPrograms
	recentAnswers  recentAnswers
	durations      durations
	lossWatches    atomic.Int64 // instances that are being watched; see watchLoss
	placementSeed  uint64       // random for each process; see backend.PlacementRequest.Seed
}

// New returns a gateway with the given options.
func New(options Options) *Gateway {
	return &Gateway{Options: options, recentPrograms: newRecentPrograms(), placementSeed: rand.Uint64()}
}

// ServeHTTP implements http.Handler. If an answer cannot be completed, it panics with
// http.ErrAbortHandler, so that the server breaks the answer off.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	current := &execution{
		gateway: g,
		writer:  writer,
		request: request,
		arrived: time.Now(),
	}
	g.Metrics.inFlight.Inc()
	err := current.serve()
	g.Metrics.inFlight.Dec()
	current.report(err)
	var refusal *Refusal
	if errors.As(err, &refusal) && !current.headSent {
		g.refuse(current, refusal)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuse writes a refusal to the caller: its status, its headers, and its reason as JSON.
func (g *Gateway) refuse(current *execution, refusal *Refusal) {
	header := current.writer.Header()
	g.HeaderCodec.SetRefusal(header, current.call.ID, refusal.RetryAfter)
	body, err := json.Marshal(struct {
		Error Reason `json:"error"`
	}{refusal.Reason})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	current.writer.WriteHeader(refusal.Status)
	if _, err := current.writer.Write(body); err != nil {
		g.Log.Info("request: refusal not written.", zap.String("request", current.call.ID), zap.String("cause", err.Error()))
	}
}

// contextEndReason returns why the context of a request ended.
func contextEndReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	if isCut(ctx) {
		return ReasonCutByStop
	}
	return callerEndReason(ctx)
}
