package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

const headerTimeout = 10 * time.Second

// maxBodyBytes limits a request body that ReadJSON decodes.
const maxBodyBytes = 64 << 20

// Announcement is the JSON line that a stand-in prints when it starts to serve.
type Announcement struct {
	Kind    string `json:"kind"`    // of the stand-in, as passed to Run
	Address string `json:"address"` // "ip:port"
}

// Server is a running HTTP server of a stand-in.
type Server struct {
	Address string // "ip:port"
	server  *http.Server
}

// Start listens on the address ("ip:port") and serves the handler in the
// background until Close. Port 0 selects a free port.
func Start(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return &Server{Address: listener.Addr().String(), server: server}, nil
}

// URL returns the base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Address }

// Close closes the listener and all connections without waiting for requests.
func (s *Server) Close() { _ = s.server.Close() }

// Run serves the handler on the address until ctx ends. Once it listens, it
// writes one line with an Announcement to output.
func Run(ctx context.Context, kind, address string, handler http.Handler, output io.Writer) error {
	server, err := Start(address, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	line, err := json.Marshal(Announcement{Kind: kind, Address: server.Address})
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	fmt.Fprintln(output, string(line))
	<-ctx.Done()
	return nil
}

// WriteJSON writes a response with the status and the value encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the JSON body into target. If that fails, it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target)
	if err != nil {
		http.Error(w, "decode request body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteNotStartedError writes an error response with enginev1.HeaderNeverStarted, which states that
// the request was not started.
func WriteNotStartedError(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(enginev1.HeaderNeverStarted, "true")
	http.Error(w, detail, status)
}

// WriteFault carries out an action that Inject returned: it writes the error response
// or, for ActionLose, panics with http.ErrAbortHandler. It returns false if the
// action is "", and then writes nothing.
func WriteFault(w http.ResponseWriter, action Action) bool {
	switch action {
	case ActionLose:
		panic(http.ErrAbortHandler) // net/http closes the connection without a response.
	case ActionRefuse:
		WriteNotStartedError(w, http.StatusServiceUnavailable, "refused by a fault rule")
	case ActionFail:
		http.Error(w, "failed by a fault rule", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// Wrap wraps a handler with the rules of PointBefore and PointAfter. The whole
// response is buffered until the PointAfter rules have been applied. The key
// function returns the request key for Rule.Match.
func (f *Faults) Wrap(key func(*http.Request) string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestKey := key(r)
		if WriteFault(w, f.Inject(r.Context(), PointBefore, requestKey, 0)) {
			return
		}
		response := newBufferedResponse()
		next.ServeHTTP(response, r)
		if WriteFault(w, f.Inject(r.Context(), PointAfter, requestKey, 0)) {
			return
		}
		response.writeTo(w)
	})
}

// MethodAndPath returns the method, the path and the query as a request key for
// Wrap, such as "GET /lab?x=1".
func MethodAndPath(r *http.Request) string { return r.Method + " " + r.URL.RequestURI() }
