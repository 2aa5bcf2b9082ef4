package engine

import (
	"cmp"
	"slices"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

// PoolSpec is the desired state of a pool's engines.
type PoolSpec struct {
	Pool              string
	Model             string
	Version           string
	Adapters          []string
	Role              string // empty: RoleServe
	MaxUnavailable    int    // maximum number of engines out of service during changes; less than 1 counts as 1
	MaxParallelOrders int    // maximum number of engines that execute orders at once; less than 1 counts as 1
}

// ObservedEngine is the state of a pool's engine that Plan works from.
type ObservedEngine struct {
	Digest  Digest
	Fresh   bool // the digest is fresh
	Blocked bool // drained by an operator or leaving; such an engine gets no orders
}

// Order is the next order for one engine. Its fencing token is set when it is sent.
type Order struct {
	Engine string
	Order  enginev1.Order
	// Drain means that the engine is in service: it must get no new work, and the order is sent
	// after its requests have ended.
	Drain bool
}

// Plan returns the orders that may be in progress now to bring a pool's engines to the wanted
// state. An engine in service gets an order that interrupts its service only while fewer than
// MaxUnavailable engines are out of service. That limit does not apply to engines that are out
// of service already, nor to orders that only change adapters. At most MaxParallelOrders engines
// execute an order at once.
//
// Plan has no side effects, and its result does not depend on the order of engines. Daemons of
// a region that have the same digests therefore make the same plan without further agreement,
// and every daemon knows which engines drain.
func Plan(wanted PoolSpec, engines []ObservedEngine) []Order {
	sorted := engines
	if !slices.IsSortedFunc(sorted, compareObserved) {
		sorted = slices.Clone(engines)
		slices.SortFunc(sorted, compareObserved)
	}
	outOfService, loading := countOutOfService(&wanted, sorted)
	var orders []Order
	for index := range sorted {
		engine := &sorted[index]
		order, needed := wanted.nextOrder(&engine.Digest)
		if !needed || !engine.Fresh || engine.Blocked || engine.Digest.Loading {
			continue
		}
		if loading >= max(1, wanted.MaxParallelOrders) {
			break
		}
		disrupts := wanted.isInService(engine) && !onlyAdaptersDiffer(&wanted, &engine.Digest)
		if disrupts && outOfService >= max(1, wanted.MaxUnavailable) {
			continue
		}
		if disrupts {
			outOfService++
		}
		loading++
		orders = append(orders, Order{Engine: engine.Digest.Engine, Order: order, Drain: disrupts})
	}
	return orders
}

func compareObserved(a, b ObservedEngine) int { return cmp.Compare(a.Digest.Engine, b.Digest.Engine) }

// countOutOfService returns the number of engines that are out of service, and the number of
// engines that are executing an order.
func countOutOfService(wanted *PoolSpec, engines []ObservedEngine) (outOfService, loading int) {
	for index := range engines {
		if !wanted.isInService(&engines[index]) {
			outOfService++
		}
		if engines[index].Fresh && engines[index].Digest.Loading {
			loading++
		}
	}
	return outOfService, loading
}

// isInService returns true if the engine serves the pool's model in the wanted role, in any
// version.
func (w *PoolSpec) isInService(engine *ObservedEngine) bool {
	digest := &engine.Digest
	return engine.Fresh && !engine.Blocked && !digest.Loading &&
		digest.Model == w.Model && digest.Role == w.effectiveRole()
}

// effectiveRole returns the wanted role, which is RoleServe by default.
func (w *PoolSpec) effectiveRole() string {
	if w.Role == "" {
		return RoleServe
	}
	return w.Role
}

// nextOrder returns the next order that the engine needs, or false if it is in the wanted
// state. It corrects the model, the version and the adapters before the role.
func (w *PoolSpec) nextOrder(digest *Digest) (enginev1.Order, bool) {
	if digest.Model != w.Model || digest.Version != w.Version || !sameElements(digest.Adapters, w.Adapters) {
		return enginev1.Order{Kind: OrderLoad, Model: w.Model, Version: w.Version, Adapters: w.Adapters}, true
	}
	if digest.Role != w.effectiveRole() {
		return enginev1.Order{Kind: OrderRole, Role: w.effectiveRole()}, true
	}
	return enginev1.Order{}, false
}

// Kinds of orders, as in enginev1.Order.
const (
	OrderClaim = "claim"
	OrderLoad  = "load"
	OrderRole  = "role"
)

// onlyAdaptersDiffer returns true if the model, version and role are as wanted, so that an
// order only changes the adapters.
func onlyAdaptersDiffer(wanted *PoolSpec, digest *Digest) bool {
	return digest.Model == wanted.Model && digest.Version == wanted.Version && digest.Role == wanted.effectiveRole()
}

// sameElements compares two lists as sets; they must not contain duplicates.
func sameElements(first, second []string) bool {
	if len(first) != len(second) {
		return false
	}
	for _, entry := range first {
		if !slices.Contains(second, entry) {
			return false
		}
	}
	return true
}
