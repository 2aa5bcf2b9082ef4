package abuse

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Limits of the configuration for callers.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

// Host and paths of the routes.
const (
	ordinaryHost       = "a.example"
	pathOrdinaryUnsafe = "/pay/"
	pathOrdinarySafe   = "/look/"
	pathAbused         = "/check/"
	pathLarge          = "/report/"
	pathTurn           = "/talk/"
	pathEndless        = "/endless/"
	pathEndlessTurn    = "/endless-talk/"
)

const configuration = `{"version":1,"routes":[
 {"name":"pay","host":"a.example","path_prefix":"/pay/","type":"unsafe","timeout_ms":5000,"target_latency_ms":200,"service":"app","max_attempts":1},
 {"name":"look","host":"a.example","path_prefix":"/look/","type":"safe","timeout_ms":5000,"target_latency_ms":200,"service":"app","max_attempts":3},
 {"name":"check","host":"a.example","path_prefix":"/check/","type":"unsafe","timeout_ms":20000,"service":"app","max_attempts":1},
 {"name":"report","host":"a.example","path_prefix":"/report/","type":"safe","timeout_ms":20000,"service":"app","max_attempts":1},
 {"name":"talk","host":"a.example","path_prefix":"/talk/","type":"streaming","timeout_ms":20000,"service":"app","max_attempts":1,"retained":true,"retention_s":60},
 {"name":"endless","host":"a.example","path_prefix":"/endless/","type":"safe","timeout_ms":2000,"target_latency_ms":200,"service":"endless","max_attempts":3},
 {"name":"endless-talk","host":"a.example","path_prefix":"/endless-talk/","type":"streaming","timeout_ms":2000,"service":"endless","max_attempts":1,"retained":true,"retention_s":60}],
 "services":[{"name":"app"},{"name":"endless"}],
 "limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	engines        = 4
	slotsPerEngine = 64
	engineTime     = 10 * time.Millisecond
	largeAnswer    = 8 << 20 // bytes of an answer to a request for pathLarge
	// abusePrefix begins the identifiers of requests of clients that do not behave.
	abusePrefix = "abuse"
)

// world is what the gateway depends on: a store and engines. It records what the engines ran.
type world struct {
	store   *httptest.Server
	engines []*httptest.Server
	endless *endlessEngine // nil: there is none

	mutex sync.Mutex
	ran   map[string]struct{} // identifiers of the requests that an engine ran
	// refused are identifiers of requests whose refusal promised that they did not run.
	refused map[string]struct{}
}

// newWorld starts the world, with an engine that sends the answer if there is one.
func newWorld(endless *EndlessAnswer) (*world, error) {
	w := &world{ran: map[string]struct{}{}, refused: map[string]struct{}{}}
	memory := memorystore.New()
	w.store = httptest.NewServer(&platformstore.Handler{Store: memory})
	puts := []state.Put{{Key: state.Key{Table: "op", Name: "config"}, Value: fmt.Appendf(nil, configuration, maxHeaderBytes, maxBodyBytes)}}
	for index := range engines {
		id := fmt.Sprintf("i-%d", index)
		engine := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { w.serveEngine(id, writer, request) }))
		engine.Config.ErrorLog = log.New(io.Discard, "", 0)
		engine.Start()
		w.engines = append(w.engines, engine)
		value := fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":0}`,
			engine.Listener.Addr().String(), slotsPerEngine)
		puts = append(puts, state.Put{Key: state.Key{Table: "servers", Name: id}, Value: value})
	}
	if endless != nil {
		faulty, err := startEndlessEngine(endless)
		if err != nil {
			w.close()
			return nil, eris.Wrap(err, "start the faulty engine")
		}
		w.endless = faulty
		value := fmt.Appendf(nil, `{"service":"endless","address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":0}`,
			faulty.listener.Addr().String(), slotsPerEngine)
		puts = append(puts, state.Put{Key: state.Key{Table: "servers", Name: "i-endless"}, Value: value})
	}
	for _, put := range puts {
		if _, err := memory.Commit(context.Background(), state.Commit{Puts: []state.Put{put}}); err != nil {
			w.close()
			return nil, eris.Wrap(err, "write the configuration")
		}
	}
	return w, nil
}

func (w *world) close() {
	for _, each := range append([]*httptest.Server{w.store}, w.engines...) {
		each.CloseClientConnections()
		each.Close()
	}
	if w.endless != nil {
		_ = w.endless.listener.Close()
	}
}

// serveEngine runs a request like an engine.
func (w *world) serveEngine(id string, writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Instance-Id", id)
	requestID := request.Header.Get("Request-Id")
	if requestID == "" { // a health check
		return
	}
	w.mutex.Lock()
	w.ran[requestID] = struct{}{}
	w.mutex.Unlock()
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	time.Sleep(engineTime)
	writer.Header().Set("Server-Stamp", "s."+id)
	writer.Header().Set("Request-Id", requestID)
	switch {
	case strings.HasPrefix(request.URL.Path, pathLarge):
		writeLargeAnswer(writer)
	case strings.HasPrefix(request.URL.Path, pathTurn):
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "id: 1\ndata: done\n\n") // fails if the gateway gave the request up
	default:
		_, _ = io.WriteString(writer, "done\n") // the same
	}
}

func writeLargeAnswer(writer io.Writer) {
	for range largeAnswer / bodyPieceBytes {
		if _, err := io.WriteString(writer, bodyPiece); err != nil {
			return // the gateway gave the request up
		}
	}
}

// noteRefusal records a refusal that promises that the request did not run.
func (w *world) noteRefusal(requestID string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.refused[requestID] = struct{}{}
}

func (w *world) falseRefusals() (broken []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id := range w.refused {
		if _, ran := w.ran[id]; ran {
			broken = append(broken, id)
		}
	}
	return broken
}

func (w *world) countRefused() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.refused)
}

func (w *world) countAbuse() (count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id := range w.ran {
		if strings.HasPrefix(id, abusePrefix) {
			count++
		}
	}
	return count
}

// promisesNotRun reports whether a status promises that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
