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

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// Options are what a Gateway is made of.
type Options struct {
	Zone         string
	Wire         Wire
	Routes       *routetable.Holder
	Fleet        *backend.Fleet
	Turns        *turn.Records
	Budgets      Budgets
	Quotas       *quota.Limiter
	Availability *state.Availability
	Log          *zap.Logger
	Metrics      *Metrics
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
	_, _ = current.writer.Write(body)
}

// report writes the one line that tells a request's outcome, and counts it.
func (e *execution) report(err error) {
	took := time.Since(e.arrived)
	reason := reasonOf(err)
	status := e.status
	var refusal *Refusal
	if errors.As(err, &refusal) && !e.headSent {
		status = refusal.Status
	}
	e.gateway.Metrics.ended(e.routeName(), status, reason, took)
	fields := []zap.Field{
		zap.String("request", e.call.ID),
		zap.String("route", e.routeName()),
		zap.Int("status", status),
		zap.Duration("took", took),
	}
	if e.tenant != nil {
		fields = append(fields, zap.String("tenant", string(e.tenant.Name)))
	}
	if e.call.Program != "" {
		fields = append(fields, zap.String("program", e.call.Program))
	}
	if e.call.Previous != "" {
		fields = append(fields, zap.String("previous", e.call.Previous))
	}
	if e.call.Budget > 0 {
		fields = append(fields, zap.Int64("budget", e.call.Budget), zap.Int64("most", e.call.MostTokens))
	}
	if e.instance != nil {
		fields = append(fields, zap.String("engine", e.instance.ID), zap.Duration("firstByte", e.firstByte), zap.Int("engineLoad", e.believed.load))
	}
	if e.believed.missing > 0 {
		fields = append(fields, zap.Int("toRead", e.believed.missing))
	}
	if e.table != nil {
		configurationAge, instancesAge := e.gateway.Ages()
		fields = append(fields, zap.Uint64("revision", e.table.Revision),
			zap.Duration("configurationAge", configurationAge), zap.Duration("enginesAge", instancesAge))
	}
	if e.events.count > 0 {
		fields = append(fields, zap.Int("events", e.events.count))
	}
	if e.tries > 1 {
		fields = append(fields, zap.Int("tries", e.tries))
	}
	if e.call.ProgramDeadline > 0 {
		fields = append(fields, zap.Duration("programLeft", e.call.ProgramDeadline))
	}
	if e.reservation != nil {
		fields = append(fields, zap.Int64("attained", e.reservation.Attained()))
	}
	if e.searches > 0 {
		fields = append(fields, zap.Int("searches", e.searches))
	}
	if e.waited > 0 {
		fields = append(fields, zap.Duration("storeWait", e.waited))
	}
	if err == nil {
		e.gateway.Log.Info("request: answered.", fields...)
		return
	}
	fields = append(fields, zap.String("reason", string(reason)), zap.String("cause", err.Error()))
	e.gateway.Log.Warn("request: failed.", fields...)
}

func (e *execution) routeName() string {
	if e.route == nil {
		return ""
	}
	return e.route.Name
}

// contextEnded says why the context of a request is over.
func contextEnded(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCallerLeft
}
