package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// roleServe is the role of engines that accept completions. Engines with other
// roles refuse them.
const roleServe = "serve"

// kvTransfer is the body of a KV export or import. It has the hashes of the
// blocks instead of their content.
type kvTransfer struct {
	Program string   `json:"program"`
	Blocks  []uint64 `json:"blocks"`
}

func (e *Engine) newHandler() http.Handler {
	controlMux := http.NewServeMux()
	controlMux.HandleFunc("DELETE "+enginev1.PathRequests+"{id...}", func(w http.ResponseWriter, r *http.Request) {
		status, found := e.cancel(r.PathValue("id"))
		if !found {
			http.Error(w, "no such request", http.StatusNotFound)
			return
		}
		standin.WriteJSON(w, http.StatusOK, status)
	})
	controlMux.HandleFunc("GET "+enginev1.PathState, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.currentReport())
	})
	controlMux.HandleFunc("POST "+enginev1.PathOrders, e.handleOrder)
	controlMux.HandleFunc("GET "+enginev1.PathCacheEvents, e.handleCacheEvents)
	controlMux.HandleFunc("GET "+enginev1.PathHeld, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, enginev1.HeldList{Held: e.Held()})
	})
	controlMux.HandleFunc("POST "+enginev1.PathRelease, e.handleRelease)
	controlMux.HandleFunc("POST "+enginev1.PathHold, e.handleHold)
	controlMux.HandleFunc("GET "+enginev1.PathKV+"{program}", e.handleExportKV)
	controlMux.HandleFunc("PUT "+enginev1.PathKV+"{program}", e.handleImportKV)

	mux := standin.NewMux(e.Faults.Wrap(standin.MethodAndPath, controlMux), e.Faults, func() any { return e.Records() })
	mux.HandleFunc("POST "+enginev1.PathCompletions, e.handleCompletion)
	mux.HandleFunc("GET "+enginev1.PathRequests+"{id...}", e.handleResume)
	return mux
}

// handleOrder carries out an order, or responds with status 409 if a greater
// fence was seen before. A load continues in the background.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order enginev1.Order
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.fence {
		standin.WriteJSON(w, http.StatusConflict, e.buildReport(time.Now()))
		return
	}
	e.fence = order.Fence
	switch order.Kind {
	case "claim":
	case "role":
		e.role = order.Role
	case "load":
		e.startLoad(order)
	default:
		http.Error(w, "unknown kind of order: "+order.Kind, http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, e.buildReport(time.Now()))
}

// startLoad sets the adapters at once if the model and its version are already
// loaded. Otherwise it starts a load in the background that takes
// Options.LoadTime. During the load the engine refuses completions.
func (e *Engine) startLoad(order enginev1.Order) {
	if order.Model == e.model && order.Version == e.version {
		e.adapters = order.Adapters
		return
	}
	e.loading = true
	time.AfterFunc(e.scaleTime(e.options.LoadTime), func() { e.finishLoad(order) })
}

// finishLoad puts the loaded model into service with an empty cache. It discards
// the load if an order with a greater fence has come since.
func (e *Engine) finishLoad(order enginev1.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.fence {
		e.loading = false // a later order supersedes this one
		return
	}
	e.model = order.Model
	e.version = order.Version
	e.adapters = order.Adapters
	e.loading = false
	e.cache = newPrefixCache(e.options.CacheTokens, e.emit)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // 0 if absent: all events
	e.mutex.Lock()
	defer e.mutex.Unlock()
	standin.WriteJSON(w, http.StatusOK, e.events.listAfter(after, time.Now()))
}

// Held returns the number of cached tokens and the lease of each program, sorted by
// program.
func (e *Engine) Held() []enginev1.Held {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cache.listPrograms(time.Now())
}

func (e *Engine) handleRelease(w http.ResponseWriter, r *http.Request) {
	var request enginev1.ReleaseRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, program := range request.Programs {
		e.cache.release(program)
	}
}

func (e *Engine) handleHold(w http.ResponseWriter, r *http.Request) {
	var request enginev1.HoldRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.pin(request.Program, time.Now().Add(time.Duration(request.LeaseMS)*time.Millisecond))
}

func (e *Engine) handleExportKV(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	e.mutex.Lock()
	body := kvTransfer{Program: program, Blocks: e.cache.blocksOf(program)}
	e.mutex.Unlock()
	standin.WriteJSON(w, http.StatusOK, body)
}

// handleImportKV adds the blocks to the program's cache after the modelled time of
// their transfer.
func (e *Engine) handleImportKV(w http.ResponseWriter, r *http.Request) {
	var body kvTransfer
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	tokens := float64(len(body.Blocks) * blockTokens)
	time.Sleep(e.scaleTime(time.Duration(tokens / transferTokensPerSec * float64(time.Second))))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.store(r.PathValue("program"), body.Blocks, time.Now())
}
