package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
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

// Options are what a Gateway is made of.
type Options struct {
	Zone    string
	Wire    Wire
	Routes  *routetable.Holder
	Fleet   *backend.Fleet
	Turns   *turn.Records
	Budgets Budgets
	Quotas  *quota.Limiter
	// Admission bounds the programs under way; nil: nothing does.
	Admission    *admission.Controller
	Availability *state.Availability
	// Memory counts what is held for callers; nil: nothing is counted or bounded.
	Memory *memory.Account
	// Reach tells whether this daemon is cut off; nil: it never is.
	Reach *reach.Monitor
	// Room tells whether the store is full.
	Room    *state.Room
	Log     *zap.Logger
	Metrics *Metrics
	// InstanceGrace is how long an instance whose entry is gone may still be used.
	InstanceGrace time.Duration
	// Off is what an experiment goes without.
	Off mechanism.Off
	// KeysBelieved is how old the configuration may be for a key that it lacks to be
	// called unknown; beyond, it may have been added since.
	KeysBelieved time.Duration
	// Ages tells how long ago the store was heard about configuration and instances.
	Ages func() (configuration, instances time.Duration)
}

// Budgets reserves what a turn may generate from its program's budget.
type Budgets interface {
	// Reserve returns budget.ErrSpent if the budget holds no further turn.
	Reserve(ctx context.Context, request budget.ReserveRequest) (budget.Settler, error)
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	Options
	begun *begunPrograms
	order uint64 // of preference among instances (backend.Request.Order)
}

// New makes a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, begun: newBegunPrograms(), order: rand.Uint64()}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	current := &execution{
		gateway: g,
		writer:  writer,
		request: request,
		arrived: time.Now(),
	}
	g.Metrics.underWay.Inc()
	err := current.serve()
	g.Metrics.underWay.Dec()
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

// refuse writes the system's own answer.
func (g *Gateway) refuse(current *execution, refusal *Refusal) {
	header := current.writer.Header()
	g.Wire.Refuse(header, current.call.ID, refusal.After)
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

// contextEnded says why the context of a request is over.
func contextEnded(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return callerEnded(ctx)
}
