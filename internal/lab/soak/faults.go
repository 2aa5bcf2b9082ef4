package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
)

// during holds a trouble in force for its time.
func (w *world) during(f fault, begin, end func()) {
	over := w.calm.trouble()
	begin()
	time.Sleep(f.lasts)
	end()
	over()
}

// eachOf does something to all targets at once, and waits.
func (w *world) eachOf(f fault, do func(target *gateway)) {
	var all sync.WaitGroup
	for _, number := range f.targets {
		all.Go(func() { do(w.gateways[number]) })
	}
	all.Wait()
}

// kill ends processes, one or many or all, and starts them again later.
func (w *world) kill(f fault) {
	over := w.calm.trouble()
	defer over()
	w.eachOf(f, (*gateway).kill)
	time.Sleep(f.lasts / 2)
	w.startAgain(f)
}

func (w *world) startAgain(f fault) {
	w.eachOf(f, func(target *gateway) {
		if err := target.start(); err != nil {
			w.evidence.find("process: %v", err)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	w.eachOf(f, func(target *gateway) { _ = target.awaitReady(ctx) }) // the store may be away too
}

// pause stops processes without their knowing.
func (w *world) pause(f fault) {
	w.during(f,
		func() { w.eachOf(f, func(target *gateway) { target.signal(syscall.SIGSTOP) }) },
		func() { w.eachOf(f, func(target *gateway) { target.signal(syscall.SIGCONT) }) })
}

// stop ends processes as planned, one after the other, and starts them again.
func (w *world) stop(f fault) {
	over := w.calm.trouble()
	defer over()
	for _, number := range f.targets[:min(2, len(f.targets))] {
		w.gateways[number].stop()
		w.startAgain(fault{targets: []int{number}})
	}
}

// hup changes the settings file and sends the signal.
func (w *world) hup(f fault) {
	target := w.gateways[f.targets[0]]
	target.mutex.Lock()
	target.current.GraceSeconds = grace.Seconds() - float64(f.how%2)/2
	err := target.writeSettings()
	target.mutex.Unlock()
	if err != nil {
		w.evidence.find("process: %v", err)
	}
	target.signal(syscall.SIGHUP)
}

// moods of a store that does not serve.
func notServing(how int) mood {
	switch how % 4 {
	case 0:
		return mood{status: http.StatusServiceUnavailable}
	case 1:
		return mood{status: http.StatusTooManyRequests}
	case 2:
		return mood{resets: true}
	default:
		return mood{silent: true}
	}
}

func (w *world) storeMood(f fault, next mood) {
	w.during(f, func() { w.store.all(next) }, func() { w.store.all(mood{}) })
}

func (w *world) storeDown(f fault) { w.storeMood(f, notServing(f.how)) }

func (w *world) storePart(f fault) {
	w.storeMood(f, mood{partsDown: f.share, salt: uint32(f.how)})
}

func (w *world) storeSlow(f fault) {
	w.storeMood(f, mood{delay: time.Duration(f.share * float64(300*time.Millisecond))})
}

func (w *world) storeLost(f fault) { w.storeMood(f, mood{loseShare: f.share}) }

func (w *world) storeLate(f fault) { w.storeMood(f, mood{lateShare: f.share}) }

// storeOne turns some gateways away while the others are served.
func (w *world) storeOne(f fault) {
	served := f.targets[:max(1, len(f.targets)/2)]
	set := func(next mood) {
		for _, number := range served {
			w.store.doors[number].set(next)
		}
	}
	w.during(f, func() { set(notServing(f.how)) }, func() { set(mood{}) })
}

// storeHistory lets the store forget what changed so far.
func (w *world) storeHistory(f fault) {
	w.during(fault{lasts: shortestFault}, w.store.memory.ForgetHistory, func() {})
}

// linkTrouble is what a link does to its connections.
func linkTrouble(how int) (condition faultproxy.Condition, resets bool) {
	switch how % 5 {
	case 0:
		return faultproxy.Condition{Delay: 60 * time.Millisecond}, false
	case 1:
		return faultproxy.Condition{HoldRequests: true}, false
	case 2:
		return faultproxy.Condition{HoldAnswers: true}, false
	case 3:
		return faultproxy.Condition{HoldRequests: true, HoldAnswers: true}, false
	default:
		return faultproxy.Condition{Refuse: true}, true
	}
}

func (w *world) links(f fault, of func(*gateway) *faultproxy.Link) {
	condition, resets := linkTrouble(f.how)
	set := func(next faultproxy.Condition) {
		for _, number := range f.targets {
			of(w.gateways[number]).Set(next)
		}
	}
	w.during(f, func() {
		set(condition)
		for _, number := range f.targets {
			if resets {
				of(w.gateways[number]).Reset()
			}
		}
	}, func() { set(faultproxy.Condition{}) })
}

func (w *world) linkStore(f fault) {
	w.links(f, func(target *gateway) *faultproxy.Link { return target.toStore })
}

func (w *world) linkPeers(f fault) {
	w.links(f, func(target *gateway) *faultproxy.Link { return target.toPeers })
}

func (w *world) linkCallers(f fault) {
	w.links(f, func(target *gateway) *faultproxy.Link { return target.callers })
}

// someInstance draws one of a service that has others beside it.
func (w *world) someInstance(f fault) *instance {
	services := []string{serviceModel, serviceApp, serviceOther}
	found := w.engines.of(services[f.how%len(services)])
	if len(found) < 2 {
		return nil
	}
	return found[f.how/len(services)%len(found)]
}

func (w *world) linkEngine(f fault) {
	target := w.someInstance(f)
	if target == nil {
		return
	}
	condition, resets := linkTrouble(f.how / 7)
	w.during(f, func() {
		target.link.Set(condition)
		if resets {
			target.link.Reset()
		}
	}, func() { target.link.Set(faultproxy.Condition{}) })
}

// engineCrash ends an instance at once. Its entry stays for a while; another
// one of any service may get its address.
func (w *world) engineCrash(f fault) {
	target := w.someInstance(f)
	if target == nil {
		return
	}
	over := w.calm.trouble()
	defer over()
	address := target.link.Address()
	target.end()
	const entryStays, addressRests = 1500 * time.Millisecond, 2 * time.Second
	time.Sleep(entryStays)
	target.forget()
	time.Sleep(addressRests - entryStays)
	if err := w.engines.add(target.service, "127.0.0.1:0"); err != nil {
		w.evidence.find("engines: %v", err)
	}
	if f.how%2 == 0 {
		services := []string{serviceModel, serviceApp, serviceOther}
		_ = w.engines.add(services[f.how/2%len(services)], address) // the port may be taken
	}
}

// engineBad lets an instance reject, drop, cut, double or delay its answers.
func (w *world) engineBad(f fault) {
	target := w.someInstance(f)
	if target == nil {
		return
	}
	moods := []conduct{{reject: f.share}, {drop: f.share}, {cut: f.share}, {extra: f.share}, {delay: time.Duration(f.share * float64(time.Second))}}
	w.during(f, func() { target.behave(moods[f.how%len(moods)]) }, func() { target.behave(conduct{}) })
}

// engineDrain starts a new instance, then lets an old one leave.
func (w *world) engineDrain(f fault) {
	target := w.someInstance(f)
	if target == nil {
		return
	}
	if err := w.engines.add(target.service, "127.0.0.1:0"); err != nil {
		w.evidence.find("engines: %v", err)
		return
	}
	target.drain()
	const servesOn = drainBound + schedulingSlack + 500*time.Millisecond
	time.AfterFunc(servesOn, func() {
		target.forget()
		target.end()
	})
}

func (w *world) reconfigure(fault) { w.store.configure(w.evidence) }
