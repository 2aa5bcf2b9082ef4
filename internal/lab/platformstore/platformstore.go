// Package platformstore provides a stand-in for the platform's store. It serves
// the store's published HTTP protocol and stores the rows in memory.
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

// Handler serves the store's HTTP protocol.
type Handler struct {
	Store *memorystore.Store
	// IsThrottled reports whether a request from the remote address ("ip:port")
	// gets status 429; nil throttles no one.
	IsThrottled func(remote string) bool
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

type response struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now_ms"`
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.IsThrottled != nil && h.IsThrottled(request.RemoteAddr) {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch request.Method + " " + request.URL.Path {
	case "POST /api/rows-tx":
		h.handleCommit(writer, request)
	case "GET /api/rows-get":
		h.handleRead(writer, request)
	case "GET /api/rows-feed":
		h.handleFeed(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (r row) key() state.Key {
	return state.Key{Table: r.Table, Partition: r.Partition, Name: r.Name}
}

// toCommit converts the transaction to a commit. It returns false if the
// transaction has rows of several partitions and Across is not set.
func (t transaction) toCommit() (state.Commit, bool) {
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

func (h *Handler) handleCommit(writer http.ResponseWriter, request *http.Request) {
	var tx transaction
	if err := json.NewDecoder(request.Body).Decode(&tx); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	commit, allowed := tx.toCommit()
	if !allowed {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	version, err := h.Store.Commit(request.Context(), commit)
	var conflict *state.ConflictError
	if errors.As(err, &conflict) {
		writeResponse(writer, http.StatusPreconditionFailed, response{Rows: encodeRows(conflict.Rows)})
		return
	}
	h.writeResult(writer, err, response{Version: uint64(version)})
}

func (h *Handler) handleRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page, err := h.Store.Read(request.Context(), state.Range{
		Table: query.Get("table"), Partition: query.Get("part"),
		From: query.Get("from"), To: query.Get("target_version"), Limit: limit,
	})
	h.writeResult(writer, err, response{Rows: encodeRows(page.Rows), More: page.More, Version: uint64(page.Version)})
}

func (h *Handler) handleFeed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	change, err := h.Store.Feed(request.Context(), query.Get("table"), state.Version(after), time.Duration(wait)*time.Millisecond)
	if errors.Is(err, state.ErrHistoryLost) {
		writer.WriteHeader(http.StatusGone)
		return
	}
	h.writeResult(writer, err, response{Rows: encodeRows(change.Rows), Version: uint64(change.Version)})
}

// writeResult writes the body if err is nil, an error status if the store
// certainly did nothing, and otherwise closes the connection without a response.
func (h *Handler) writeResult(writer http.ResponseWriter, err error, body response) {
	switch {
	case err == nil:
		writeResponse(writer, http.StatusOK, body)
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

func writeResponse(writer http.ResponseWriter, status int, body response) {
	body.Now = time.Now().UnixMilli()
	if body.Rows == nil {
		body.Rows = []row{}
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func encodeRows(rows []state.Row) []row {
	var encoded []row
	for _, r := range rows {
		encoded = append(encoded, row{
			Table: r.Key.Table, Partition: r.Key.Partition, Name: r.Key.Name,
			Value: r.Value, Version: uint64(r.Version), Gone: r.Removed,
		})
	}
	return encoded
}
