// Package machinelist provides a stand-in for the platform's list of machines, in
// which changes are visible only after a lag.
package machinelist

import (
	"net/http"
	"sync"
	"time"

	platformv1 "github.com/thymeloft/thymeloft/api/platform/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// PathMachines is the path at which POST replaces the list, as Set does.
const PathMachines = "/lab/machines"

// Options configure a list.
type Options struct {
	Lag      time.Duration        // time until a change is visible
	Machines []platformv1.Machine // first content, visible at once
}

// listVersion is one content of the list and the time at which it was set.
type listVersion struct {
	setAt    time.Time
	machines platformv1.Machines
}

// List is a list of machines and its HTTP handler. Safe for concurrent use.
type List struct {
	http.Handler
	Faults *standin.Faults
	lag    time.Duration

	mutex    sync.Mutex
	versions []listVersion // oldest first, never empty
}

// New returns a list with the content of the options.
func New(options Options) *List {
	list := &List{Faults: &standin.Faults{}, lag: options.Lag}
	list.versions = []listVersion{{machines: platformv1.Machines{Machines: options.Machines}}}
	service := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, list.visibleAt(time.Now()))
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+platformv1.PathMachines, list.Faults.Wrap(standin.MethodAndPath, service))
	mux.Handle(standin.PathFaults, list.Faults)
	mux.HandleFunc("POST "+PathMachines, list.handlePost)
	list.Handler = mux
	return list
}

// Set replaces the content of the list. Readers see the change after the lag.
func (l *List) Set(machines []platformv1.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.versions = append(l.versions, listVersion{setAt: time.Now(), machines: platformv1.Machines{Machines: machines}})
}

func (l *List) handlePost(w http.ResponseWriter, r *http.Request) {
	var machines platformv1.Machines
	if standin.ReadJSON(w, r, &machines) {
		l.Set(machines.Machines)
	}
}

// visibleAt returns the content that readers see at the given time, and drops older
// versions.
func (l *List) visibleAt(now time.Time) platformv1.Machines {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.versions) > 1 && now.Sub(l.versions[1].setAt) >= l.lag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].machines
}
