package budget

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// The budgets of a tenant's programs have accounts of their own, under names that are scoped by the
// tenant. A program that began while the configuration had no tenants has accounts under its
// unscoped name. Once its requests belong to a tenant, it must go on with these, or it would get its
// budget again.
//
// Guarantee: while such a program may return, every process that may get its scoped requests looks
// for its unscoped accounts before it makes a grant. A process knows that there can't be any if it
// has had a configuration with tenants for programReturnWindow, or if neither it nor the store
// knows of another configuration within that time.

const (
	// programReturnWindow is longer than the time in which a program may return.
	programReturnWindow = 10 * time.Minute
	// scopeSettleTime is how long a process that starts may have the first configuration with
	// tenants while others, which will record the change, don't have it yet.
	scopeSettleTime = 10 * time.Second
	// maxScopeRecordDelay spreads the records of processes that get a configuration together.
	maxScopeRecordDelay = time.Second
	scopeRetryDelay     = 250 * time.Millisecond
	scopeStoreTimeout   = 2 * time.Second
)

// scopeKey is the row with the time, in Unix seconds, at which a process was last known to have a
// configuration without tenants.
var scopeKey = state.Key{Table: "budget-scopes", Partition: "0", Name: "unscoped-until"}

// ScopeHistory knows whether programs may exist that began while the configuration had no tenants.
// It is safe for concurrent use. A nil ScopeHistory knows that there are none.
type ScopeHistory struct {
	store     *state.Client
	isFounder func() bool // whether this process started with the whole system for the first time
	now       func() time.Time
	log       *zap.Logger
	changes   chan struct{}

	mutex         sync.Mutex
	hasObserved   bool      // whether a configuration is in force
	hasTenants    bool      // as in the configuration in force; false before there is one
	unscopedUntil time.Time // when a process was last known to have a configuration without tenants
	isSettled     bool      // whether the store's record can't lack a change before this process's start
}

// NewScopeHistory returns a history of a process that has no configuration yet.
func NewScopeHistory(store *state.Client, isFounder func() bool, now func() time.Time, log *zap.Logger) *ScopeHistory {
	return &ScopeHistory{store: store, isFounder: isFounder, now: now, log: log, changes: make(chan struct{}, 1)}
}

// Observe takes note of a configuration that is put in force.
func (h *ScopeHistory) Observe(hasTenants bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if hasTenants && !h.hasTenants && h.hasObserved {
		h.unscopedUntil = h.now()
		select {
		case h.changes <- struct{}{}:
		default:
		}
	}
	h.hasTenants, h.hasObserved = hasTenants, true
}

// MayHaveUnscoped reports whether programs may exist that have accounts under unscoped names and may
// return.
func (h *ScopeHistory) MayHaveUnscoped() bool {
	if h == nil {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.hasTenants || !h.isSettled && !h.isFounder() || h.now().Sub(h.unscopedUntil) < programReturnWindow
}

// Run reads the store's record after the start, and writes it after a change to a configuration with
// tenants, until the context ends.
func (h *ScopeHistory) Run(ctx context.Context) {
	settled := time.NewTimer(scopeSettleTime)
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-settled.C:
			h.retry(ctx, h.settle)
		case <-h.changes:
			pause.Sleep(ctx, time.Duration(rand.Int64N(int64(maxScopeRecordDelay))))
			h.retry(ctx, h.record)
		}
	}
}

// retry repeats an action until it succeeds or the context ends.
func (h *ScopeHistory) retry(ctx context.Context, action func(ctx context.Context) error) {
	for {
		bounded, cancel := context.WithTimeout(ctx, scopeStoreTimeout)
		err := action(bounded)
		cancel()
		if err == nil {
			return
		}
		h.log.Info("budget: the record of programs without tenants is not up to date.", zap.String("cause", err.Error()))
		if !pause.Sleep(ctx, scopeRetryDelay) {
			return
		}
	}
}

// settle takes the store's record, unless this process is a founder: there were no programs before.
func (h *ScopeHistory) settle(ctx context.Context) error {
	recorded := time.Time{}
	if !h.isFounder() {
		var err error
		if recorded, err = h.read(ctx); err != nil {
			return err
		}
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isSettled = true
	if recorded.After(h.unscopedUntil) {
		h.unscopedUntil = recorded
	}
	return nil
}

// read returns the time in the store's record, or the zero time if there is none.
func (h *ScopeHistory) read(ctx context.Context) (time.Time, error) {
	page, err := h.store.Read(ctx, state.Range{Class: state.ClassOther, Table: scopeKey.Table, Partition: scopeKey.Partition})
	if err != nil || len(page.Rows) == 0 {
		return time.Time{}, eris.Wrap(err, "read the record of programs without tenants")
	}
	seconds, err := strconv.ParseInt(string(page.Rows[0].Value), 10, 64)
	return time.Unix(seconds, 0), eris.Wrap(err, "decode the record of programs without tenants")
}

// record writes the time of the change, unless another process has done so.
func (h *ScopeHistory) record(ctx context.Context) error {
	recorded, err := h.read(ctx)
	if err != nil {
		return err
	}
	h.mutex.Lock()
	until := h.unscopedUntil
	h.mutex.Unlock()
	if until.Sub(recorded) < scopeSettleTime {
		return nil
	}
	_, err = h.store.Commit(ctx, state.Commit{Class: state.ClassOther, Puts: []state.Put{{Key: scopeKey, Value: strconv.AppendInt(nil, until.Unix(), 10)}}})
	return eris.Wrap(err, "record a change to a configuration with tenants")
}
