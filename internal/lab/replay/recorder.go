package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/program"
)

// maxRecordedBodyBytes limits the body of a request; larger ones are rejected.
const maxRecordedBodyBytes = 8 << 20

// Recorder is a reverse proxy in front of one daemon that records programs and
// their calls. It records only POST requests that the daemon answered with a 2xx
// status. It is safe for concurrent use.
type Recorder struct {
	target string // base URL of the daemon
	client *http.Client

	mutex     sync.Mutex
	startedAt time.Time
	programs  []*recordedProgram
	byID      map[identity.Program]*recordedProgram
	tenants   []string // Authorization headers, in the order of their first programs
}

type recordedProgram struct {
	Program
	calls map[int]timedCall // by sequence number, from 1
}

type timedCall struct {
	call Call
	at   time.Time
}

// NewRecorder returns a recorder for the daemon at the base URL.
func NewRecorder(target string) *Recorder {
	return &Recorder{target: target, client: &http.Client{}, startedAt: time.Now(), byID: map[identity.Program]*recordedProgram{}}
}

// ServeHTTP forwards the request to the daemon and records it if it is a POST
// request that succeeded.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, incoming.Body, maxRecordedBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	outgoing, err := http.NewRequestWithContext(incoming.Context(), incoming.Method, r.target+incoming.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outgoing.Header = incoming.Header.Clone()
	response, err := r.client.Do(outgoing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	isRecorded := response.StatusCode/100 == 2 && incoming.Method == http.MethodPost
	if isRecorded && incoming.URL.Path == callerapi.PathPrograms {
		r.forwardCreation(w, incoming, body, response)
		return
	}
	copyResponse(w, response)
	if isRecorded {
		r.recordCall(incoming.URL.Path, body)
	}
}

// forwardCreation records the program before it forwards the response, since the caller may make
// calls of the program as soon as it has the response.
func (r *Recorder) forwardCreation(w http.ResponseWriter, incoming *http.Request, body []byte, response *http.Response) {
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	r.recordCreation(incoming.Header.Get("Authorization"), body, reply)
	response.Body = io.NopCloser(bytes.NewReader(reply))
	copyResponse(w, response)
}

// copyResponse streams the response to w.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	chunk := make([]byte, 32<<10)
	for {
		count, err := response.Body.Read(chunk)
		_, _ = w.Write(chunk[:count])
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		if err != nil {
			return
		}
	}
}

func (r *Recorder) recordCall(path string, body []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	parts := strings.Split(strings.TrimPrefix(path, callerapi.PathPrograms+"/"), "/")
	known := r.byID[identity.Program(parts[0])]
	if known == nil || len(parts) != 3 {
		return
	}
	sequence, err := strconv.Atoi(parts[2])
	var request callerapi.CallRequest
	if err != nil || json.Unmarshal(body, &request) != nil {
		return
	}
	if _, repeated := known.calls[sequence]; !repeated {
		known.calls[sequence] = timedCall{call: callOf(request), at: time.Now()}
	}
}

func (r *Recorder) recordCreation(key string, body, reply []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var request callerapi.CreateRequest
	var created callerapi.CreateReply
	if json.Unmarshal(body, &request) != nil || json.Unmarshal(reply, &created) != nil || r.byID[created.Program] != nil {
		return
	}
	recorded := &recordedProgram{calls: map[int]timedCall{}, Program: Program{
		Name:   "program-" + strconv.Itoa(len(r.programs)+1),
		Tenant: r.tenant(key),
		Class:  request.Class,
		Budget: request.TokenBudget,
		Turns:  request.MaxTurns,
		Idle:   time.Duration(request.IdleSeconds * float64(time.Second)),
		Start:  time.Since(r.startedAt),
	}}
	if parent := r.byID[request.Parent]; parent != nil {
		recorded.Parent = parent.Name
	}
	r.byID[created.Program] = recorded
	r.programs = append(r.programs, recorded)
}

// tenant returns a name for the tenant with this key, numbered in the order of
// their first programs. Keys do not appear in the trace.
func (r *Recorder) tenant(key string) string {
	index := slices.Index(r.tenants, key)
	if index < 0 {
		index = len(r.tenants)
		r.tenants = append(r.tenants, key)
	}
	return "tenant-" + strconv.Itoa(index+1)
}

func callOf(request callerapi.CallRequest) Call {
	call := Call{
		Adapter:       request.Adapter,
		MaxTokens:     request.MaxTokens,
		Operation:     request.Operation,
		Payload:       string(request.Payload),
		NotRepeatable: request.NotRepeatable,
		Stream:        request.Stream,
		Deadline:      time.Duration(request.DeadlineMS) * time.Millisecond,
	}
	switch request.Target {
	case program.TargetModel:
		call.Model = request.Name
	case program.TargetService:
		call.Service = request.Name
	case program.TargetTool:
		call.Tool = request.Name
	}
	for _, message := range request.Messages {
		if message.Role == "system" {
			call.Opening = message.Content
			continue
		}
		call.Say += message.Content
	}
	return call
}

// Trace returns what was recorded so far as a trace for the deployment, whose
// tenants are replaced by the recorded ones.
func (r *Recorder) Trace(name string, deployment fleet.Deployment) Trace {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	trace := Trace{Name: name, Deployment: deployment}
	trace.Deployment.Tenants = nil
	for index := range r.tenants {
		trace.Deployment.Tenants = append(trace.Deployment.Tenants, fleet.Tenant{Name: "tenant-" + strconv.Itoa(index+1)})
	}
	for _, recorded := range r.programs {
		trace.Programs = append(trace.Programs, recorded.orderedProgram())
	}
	return trace
}

// orderedProgram returns the program with its calls in order, up to the first
// missing one, and the pauses between them.
func (p *recordedProgram) orderedProgram() Program {
	complete := p.Program
	var previous time.Time
	for sequence := 1; ; sequence++ {
		recorded, found := p.calls[sequence]
		if !found {
			return complete
		}
		if !previous.IsZero() {
			recorded.call.Pause = recorded.at.Sub(previous)
		}
		previous = recorded.at
		complete.Calls = append(complete.Calls, recorded.call)
	}
}

// Encode returns the trace as YAML, in the form that Parse reads.
func (t *Trace) Encode() ([]byte, error) {
	encoded, err := yaml.Marshal(t)
	return encoded, eris.Wrap(err, "encode trace")
}
