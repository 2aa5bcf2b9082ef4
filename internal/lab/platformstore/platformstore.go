// Package platformstore is a stand-in of the platform's store that speaks its
// published protocol over HTTP, on rows kept in memory.
package platformstore

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Handler serves the protocol of the store.
type Handler struct {
	Store *memorystore.Store
	// Throttled tells which callers, by their address, get 429 in place of an answer.
	Throttled func(remote string) bool
}

type row struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Name      string `json:"key_file"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Gone      bool   `json:"gone,omitempty"`
}

type transaction struct {
	Conditions []row `json:"expected_revision"`
	Puts       []row `json:"put"`
	Removals   []row `json:"remove"`
	Across     bool  `json:"across"`
}

type answer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.Throttled != nil && h.Throttled(request.RemoteAddr) {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch request.Method + " " + request.URL.Path {
	case "POST /api/rows-tx":
		h.commit(writer, request)
	case "GET /api/rows-get":
		h.read(writer, request)
	case "GET /api/rows-feed":
		h.feed(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (r row) key() state.Key {
	return state.Key{Table: r.Table, Partition: r.Partition, Name: r.Name}
}

func (t transaction) commit() (state.Commit, bool) {
	var commit state.Commit
	partitions := map[string]bool{}
	for _, condition := range t.Conditions {
		partitions[condition.Partition] = true
		commit.Conditions = append(commit.Conditions, state.Condition{Key: condition.key(), Version: state.Version(condition.Version)})
	}
	for _, put := range t.Puts {
		partitions[put.Partition] = true
		commit.Puts = append(commit.Puts, state.Put{Key: put.key(), Value: put.Value})
	}
	for _, removal := range t.Removals {
		partitions[removal.Partition] = true
		commit.Removals = append(commit.Removals, removal.key())
	}
	return commit, len(partitions) <= 1 || t.Across
}

func (h *Handler) commit(writer http.ResponseWriter, request *http.Request) {
	var sent transaction
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	commit, allowed := sent.commit()
	if !allowed {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	version, err := h.Store.Commit(request.Context(), commit)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) {
		reply(writer, http.StatusPreconditionFailed, answer{Rows: rowsOf(conflict.Rows)})
		return
	}
	h.finish(writer, err, answer{Version: uint64(version)})
}

func (h *Handler) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page, err := h.Store.Read(request.Context(), state.Range{
		Table: query.Get("table"), Partition: query.Get("part"),
		From: query.Get("from"), To: query.Get("target_version"), Limit: limit,
	})
	h.finish(writer, err, answer{Rows: rowsOf(page.Rows), More: page.More, Version: uint64(page.Version)})
}

func (h *Handler) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	change, err := h.Store.Feed(request.Context(), query.Get("table"), state.Version(after), time.Duration(wait)*time.Millisecond)
	if errors.Is(err, state.ErrHistoryLost) {
		writer.WriteHeader(http.StatusGone)
		return
	}
	h.finish(writer, err, answer{Rows: rowsOf(change.Rows), Version: uint64(change.Version)})
}

// finish answers, refuses, or closes the connection without an answer.
func (h *Handler) finish(writer http.ResponseWriter, err error, content answer) {
	switch {
	case err == nil:
		reply(writer, http.StatusOK, content)
	case errors.Is(err, state.ErrFull):
		writer.WriteHeader(http.StatusInsufficientStorage)
	case errors.Is(err, state.ErrThrottled):
		writer.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, state.ErrNotExecuted):
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

func reply(writer http.ResponseWriter, status int, content answer) {
	content.Now = time.Now().UnixMilli()
	if content.Rows == nil {
		content.Rows = []row{}
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

func rowsOf(rows []state.Row) []row {
	var messages []row
	for _, each := range rows {
		messages = append(messages, row{
			Table: each.Key.Table, Partition: each.Key.Partition, Name: each.Key.Name,
			Value: each.Value, Version: uint64(each.Version), Gone: each.Removed,
		})
	}
	return messages
}
