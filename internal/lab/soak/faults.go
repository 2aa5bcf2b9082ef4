package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
)

// injectFor begins a fault, waits for its duration and ends it.
func (r *soakRun) injectFor(f fault, begin, end func()) {
	endFault := r.calm.beginFault()
	begin()
	time.Sleep(f.duration)
	end()
	endFault()
}

// forEachTarget calls do for all target gateways concurrently, and waits.
func (r *soakRun) forEachTarget(f fault, do func(target *gateway)) {
	var wg sync.WaitGroup
	for _, index := range f.targets {
		wg.Go(func() { do(r.gateways[index]) })
	}
	wg.Wait()
}

// kill kills the target gateways and starts them again after half the duration.
func (r *soakRun) kill(f fault) {
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	r.forEachTarget(f, (*gateway).kill)
	time.Sleep(f.duration / 2)
	r.startTargetsAndWait(f)
}

// startTargetsAndWait starts the target gateways and waits at most two seconds until
// they are ready.
func (r *soakRun) startTargetsAndWait(f fault) {
	r.forEachTarget(f, func(target *gateway) {
		if err := target.start(); err != nil {
			r.evidence.addFinding("process: %v", err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r.forEachTarget(f, func(target *gateway) { _ = target.awaitReady(ctx) }) // fails if the store is unavailable too
}

// pause suspends gateways with SIGSTOP and resumes them with SIGCONT.
func (r *soakRun) pause(f fault) {
	defer r.evidence.daemonsCalm.beginFault()()
	r.injectFor(f,
		func() { r.forEachTarget(f, func(target *gateway) { target.signal(syscall.SIGSTOP) }) },
		func() { r.forEachTarget(f, func(target *gateway) { target.signal(syscall.SIGCONT) }) })
}

// stop stops at most two gateways gracefully, one after the other, and starts each
// again.
func (r *soakRun) stop(f fault) {
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	for _, index := range f.targets[:min(2, len(f.targets))] {
		r.gateways[index].stop()
		r.startTargetsAndWait(fault{targets: []int{index}})
	}
}

// reloadSettings changes the settings file of a gateway and sends it SIGHUP.
func (r *soakRun) reloadSettings(f fault) {
	target := r.gateways[f.targets[0]]
	target.mutex.Lock()
	target.settings.GraceSeconds = gracePeriod.Seconds() - float64(f.variant%2)/2
	err := target.writeSettings()
	target.mutex.Unlock()
	if err != nil {
		r.evidence.addFinding("process: %v", err)
	}
	target.signal(syscall.SIGHUP)
}

// unavailableBehavior returns one of the ways in which a store does not serve.
func unavailableBehavior(variant int) storeBehavior {
	switch variant % 4 {
	case 0:
		return storeBehavior{refuseStatus: http.StatusServiceUnavailable}
	case 1:
		return storeBehavior{refuseStatus: http.StatusTooManyRequests}
	case 2:
		return storeBehavior{resets: true}
	default:
		return storeBehavior{silent: true}
	}
}

func (r *soakRun) injectStoreBehavior(f fault, next storeBehavior) {
	r.injectFor(f, func() { r.store.setAll(next) }, func() { r.store.setAll(storeBehavior{}) })
}

// makeStoreUnavailable makes the store unavailable to all gateways.
func (r *soakRun) makeStoreUnavailable(f fault) {
	r.injectStoreBehavior(f, unavailableBehavior(f.variant))
}

// makePartitionsUnavailable makes a share of the partitions of the store unavailable.
func (r *soakRun) makePartitionsUnavailable(f fault) {
	r.injectStoreBehavior(f, storeBehavior{downShare: f.share, downSalt: uint32(f.variant)})
}

// delayStore delays the answers of the store.
func (r *soakRun) delayStore(f fault) {
	r.injectStoreBehavior(f, storeBehavior{delay: time.Duration(f.share * float64(300*time.Millisecond))})
}

// loseStoreAnswers makes the store execute a share of the writes without answering them.
func (r *soakRun) loseStoreAnswers(f fault) {
	r.injectStoreBehavior(f, storeBehavior{lostShare: f.share})
}

// delayStoreWrites makes the store execute a share of the writes later, without answering them.
func (r *soakRun) delayStoreWrites(f fault) {
	r.injectStoreBehavior(f, storeBehavior{lateShare: f.share})
}

// makeStoreUnavailableToSome makes the store unavailable to the first half of the target gateways, at least
// one.
func (r *soakRun) makeStoreUnavailableToSome(f fault) {
	affected := f.targets[:max(1, len(f.targets)/2)]
	set := func(next storeBehavior) {
		for _, index := range affected {
			r.store.endpoints[index].setBehavior(next)
		}
	}
	r.injectFor(f, func() { set(unavailableBehavior(f.variant)) }, func() { set(storeBehavior{}) })
}

// dropStoreHistory makes the store drop its history of changes.
func (r *soakRun) dropStoreHistory(f fault) {
	r.injectFor(fault{duration: minFaultDuration}, r.store.memory.ForgetHistory, func() {})
}

// linkCondition returns the fault of a link for the variant, and whether the existing
// connections of the link are to be reset.
func linkCondition(variant int) (condition faultproxy.Condition, resets bool) {
	switch variant % 5 {
	case 0:
		return faultproxy.Condition{Delay: 60 * time.Millisecond}, false
	case 1:
		return faultproxy.Condition{HoldRequests: true}, false
	case 2:
		return faultproxy.Condition{HoldResponses: true}, false
	case 3:
		return faultproxy.Condition{HoldRequests: true, HoldResponses: true}, false
	default:
		return faultproxy.Condition{Refuse: true}, true
	}
}

func (r *soakRun) injectLinkFault(f fault, linkOf func(*gateway) *faultproxy.Link) {
	condition, resets := linkCondition(f.variant)
	set := func(next faultproxy.Condition) {
		for _, index := range f.targets {
			linkOf(r.gateways[index]).SetCondition(next)
		}
	}
	r.injectFor(f, func() {
		set(condition)
		for _, index := range f.targets {
			if resets {
				linkOf(r.gateways[index]).ResetConnections()
			}
		}
	}, func() { set(faultproxy.Condition{}) })
}

// injectStoreLinkFault injects a fault on the links from the target gateways to the store.
func (r *soakRun) injectStoreLinkFault(f fault) {
	r.injectLinkFault(f, func(target *gateway) *faultproxy.Link { return target.toStore })
}

// injectPeerLinkFault injects a fault on the links from other gateways to the target gateways.
func (r *soakRun) injectPeerLinkFault(f fault) {
	defer r.evidence.daemonsCalm.beginFault()()
	r.injectLinkFault(f, func(target *gateway) *faultproxy.Link { return target.fromPeers })
}

// injectCallerLinkFault injects a fault on the links from callers to the target gateways.
func (r *soakRun) injectCallerLinkFault(f fault) {
	r.injectLinkFault(f, func(target *gateway) *faultproxy.Link { return target.fromCallers })
}

// pickInstance selects an active instance by the variant of the fault. It returns nil
// if the service has fewer than two active instances.
func (r *soakRun) pickInstance(f fault) *instance {
	services := []string{serviceModel, serviceApp, serviceOther}
	found := r.engines.activeInstances(services[f.variant%len(services)])
	if len(found) < 2 {
		return nil
	}
	return found[f.variant/len(services)%len(found)]
}

// injectInstanceLinkFault injects a fault on the link to one instance of a service.
func (r *soakRun) injectInstanceLinkFault(f fault) {
	target := r.pickInstance(f)
	if target == nil {
		return
	}
	condition, resets := linkCondition(f.variant / 7)
	r.injectFor(f, func() {
		target.link.SetCondition(condition)
		if resets {
			target.link.ResetConnections()
		}
	}, func() { target.link.SetCondition(faultproxy.Condition{}) })
}

// crashInstance stops an instance at once. Its entry in the store is removed later, and
// a new instance of the service starts after that. For even variants, an instance of
// any service also starts at the old address.
func (r *soakRun) crashInstance(f fault) {
	target := r.pickInstance(f)
	if target == nil {
		return
	}
	address := target.link.Address()
	r.replaceEnded(target, wayCrash)
	if f.variant%2 == 0 {
		services := []string{serviceModel, serviceApp, serviceOther}
		_ = r.engines.add(services[f.variant/2%len(services)], address) // fails if the port is in use
	}
}

// injectInstanceFault makes an instance reject, drop, truncate, duplicate or delay its answers.
func (r *soakRun) injectInstanceFault(f fault) {
	target := r.pickInstance(f)
	if target == nil {
		return
	}
	behaviors := []instanceBehavior{{rejectShare: f.share}, {dropShare: f.share}, {cutShare: f.share}, {extraShare: f.share}, {delay: time.Duration(f.share * float64(time.Second))}}
	r.injectFor(f, func() { target.setBehavior(behaviors[f.variant%len(behaviors)]) }, func() { target.setBehavior(instanceBehavior{}) })
}

// replaceInstance starts a new instance, then drains and stops an old one.
func (r *soakRun) replaceInstance(f fault) {
	target := r.pickInstance(f)
	if target == nil {
		return
	}
	if err := r.engines.add(target.service, "127.0.0.1:0"); err != nil {
		r.evidence.addFinding("engines: %v", err)
		return
	}
	target.drain()
	const stopDelay = drainBound + schedulingSlack + 500*time.Millisecond
	time.AfterFunc(stopDelay, func() {
		target.removeEntry()
		target.close()
	})
}

func (r *soakRun) reconfigure(fault) { r.store.configure(r.evidence) }
