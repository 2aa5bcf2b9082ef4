// Package appservice simulates an application service over HTTP. It executes an
// operation for each request, also for repeated ones, and counts the executions
// of each call, so that tests can check that no call is executed twice.
package appservice

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// The states of a call.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateFailed  = "failed"
)

// Options configure a service.
type Options struct {
	Name  string
	Delay time.Duration // of each execution
	// Hangs reports whether an operation runs until it is cancelled; nil means
	// that none does.
	Hangs func(operation string) bool
}

// Attempt is one request to execute a call.
type Attempt struct {
	ID        string `json:"id"`
	ArrivedMS int64  `json:"arrived_unix_ms"`
}

// CallRecord is what the service has recorded of one call.
type CallRecord struct {
	CallID     string        `json:"call_id"`
	Program    string        `json:"program"`
	Operation  string        `json:"operation"`
	Executions int           `json:"executions"` // number of completed executions
	Attempts   []Attempt     `json:"attempts"`   // all that arrived, in order of arrival
	State      string        `json:"state"`
	payload    []byte        // of the last completed execution
	cancel     chan struct{} // closed to cancel the executions that run now
}

// Records is the response body of standin.PathRecords.
type Records struct {
	Name       string       `json:"name"`
	Executions []CallRecord `json:"executions"` // in order of the first arrival
}

// Service is a simulated application service and its HTTP handler. Safe for
// concurrent use.
type Service struct {
	http.Handler
	Faults  *standin.Faults
	options Options

	mutex     sync.Mutex
	calls     map[string]*CallRecord
	byArrival []string // call IDs
}

// New returns a service without recorded calls.
func New(options Options) *Service {
	service := &Service{Faults: &standin.Faults{}, options: options, calls: map[string]*CallRecord{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginev1.PathExecute, service.handleExecute)
	mux.HandleFunc("GET "+enginev1.PathExecutions+"{id...}", service.handleLookup)
	mux.HandleFunc("DELETE "+enginev1.PathExecutions+"{id...}", service.handleCancel)
	service.Handler = standin.NewMux(mux, service.Faults, func() any { return service.Records() })
	return service
}

// Answer returns the payload with which the service answers. It depends on the
// arguments alone.
func Answer(operation string, payload []byte) []byte {
	return fmt.Appendf(nil, "%s done %016x", operation, xxhash.Sum64(payload))
}

// handleExecute executes the call and responds when it has ended or is cancelled.
func (s *Service) handleExecute(w http.ResponseWriter, r *http.Request) {
	var request enginev1.ExecuteRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if standin.WriteFault(w, s.Faults.Inject(r.Context(), standin.PointBefore, request.AttemptID, 0)) {
		return
	}
	cancelled := s.recordAttempt(request)
	s.waitForEnd(request.Operation, cancelled)
	if !s.recordExecution(request, cancelled) {
		standin.WriteJSON(w, http.StatusOK, s.replyFor(request.CallID))
		return
	}
	if standin.WriteFault(w, s.Faults.Inject(r.Context(), standin.PointAfter, request.AttemptID, 0)) {
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.replyFor(request.CallID))
}

// recordAttempt records the attempt and returns a channel that is closed when the
// running executions of the call are cancelled.
func (s *Service) recordAttempt(request enginev1.ExecuteRequest) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call, found := s.calls[request.CallID]
	if !found {
		call = &CallRecord{CallID: request.CallID, Program: request.Program, Operation: request.Operation}
		s.calls[request.CallID] = call
		s.byArrival = append(s.byArrival, request.CallID)
	}
	call.Attempts = append(call.Attempts, Attempt{ID: request.AttemptID, ArrivedMS: time.Now().UnixMilli()})
	if call.State != stateRunning {
		call.State = stateRunning
		call.cancel = make(chan struct{})
	}
	return call.cancel
}

// waitForEnd blocks for the time that the operation takes, or until it is
// cancelled.
func (s *Service) waitForEnd(operation string, cancelled <-chan struct{}) {
	var expired <-chan time.Time
	if s.options.Hangs == nil || !s.options.Hangs(operation) {
		timer := time.NewTimer(s.options.Delay)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-expired:
	case <-cancelled:
	}
}

// recordExecution counts the execution and sets its payload. It returns false and
// does nothing if the execution was cancelled.
func (s *Service) recordExecution(request enginev1.ExecuteRequest, cancelled <-chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-cancelled:
		return false
	default:
	}
	call := s.calls[request.CallID]
	call.State = stateDone
	call.Executions++
	call.payload = Answer(request.Operation, request.Payload)
	return true
}

// replyFor returns the current state of a known call.
func (s *Service) replyFor(callID string) enginev1.ExecuteReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := s.calls[callID]
	reply := enginev1.ExecuteReply{CallID: callID, State: call.State, Executions: call.Executions}
	if call.State == stateDone {
		reply.Payload = call.payload
	}
	if call.State == stateFailed {
		reply.Error = "cancelled"
	}
	return reply
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	callID := r.PathValue("id")
	if standin.WriteFault(w, s.Faults.Inject(r.Context(), standin.PointBefore, "lookup "+callID, 0)) {
		return
	}
	if !s.hasCall(callID) {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, s.replyFor(callID))
}

func (s *Service) hasCall(callID string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.calls[callID]
	return found
}

// handleCancel cancels the running executions of the call. The service doesn't
// remember the ID of an unknown call: if the call arrives later, it is executed.
func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	callID := r.PathValue("id")
	if !s.hasCall(callID) {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	s.cancelRunning(callID)
	standin.WriteJSON(w, http.StatusOK, s.replyFor(callID))
}

func (s *Service) cancelRunning(callID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if call := s.calls[callID]; call.State == stateRunning {
		call.State = stateFailed
		close(call.cancel)
	}
}

// Records returns all calls so far, in order of their first arrival.
func (s *Service) Records() Records {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	records := Records{Name: s.options.Name, Executions: []CallRecord{}}
	for _, callID := range s.byArrival {
		records.Executions = append(records.Executions, *s.calls[callID])
	}
	return records
}
