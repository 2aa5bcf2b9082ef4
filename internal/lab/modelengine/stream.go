package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var wire enginev1.CompletionRequest
	if !standin.ReadJSON(w, r, &wire) {
		return
	}
	if standin.WriteFault(w, e.Faults.Inject(r.Context(), standin.PointBefore, wire.RequestID, 0)) {
		return
	}
	req, refusal := e.submit(wire)
	if refusal != "" {
		standin.WriteNotStartedError(w, http.StatusServiceUnavailable, refusal)
		return
	}
	e.streamAnswer(w, r, req, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if standin.WriteFault(w, e.Faults.Inject(r.Context(), standin.PointBefore, "resume "+id, 0)) {
		return
	}
	e.mutex.Lock()
	req, known := e.requests[id]
	e.mutex.Unlock()
	if !known {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil && r.URL.Query().Get("offset") != "" {
		http.Error(w, "invalid offset: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.streamAnswer(w, r, req, max(offset, 0))
}

// progress is a snapshot of a request for a stream.
type progress struct {
	content      string // generated so far
	isFinal      bool
	failure      string
	finishReason string
	usage        enginev1.Usage
	changed      <-chan struct{} // closed at the next change
}

func (e *Engine) snapshotOf(req *request) progress {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return progress{
		content:      req.answer[:req.producedBytes],
		isFinal:      req.isFinal(),
		failure:      req.failure,
		finishReason: req.finishReason,
		usage:        req.usage,
		changed:      req.changed,
	}
}

// streamAnswer sends an event for each token from the byte offset on, and at the
// end the final events. It returns early if a fault rule ends the stream, the
// client disconnects or the engine is closed.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, req *request, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	events := &eventWriter{writer: w, id: req.wire.RequestID, offset: offset}
	for {
		current := e.snapshotOf(req)
		for events.offset < len(current.content) {
			if standin.WriteFault(w, e.Faults.Inject(r.Context(), standin.PointStream, req.wire.RequestID, events.sent)) {
				return
			}
			events.writeToken(current.content)
		}
		if current.isFinal {
			if !standin.WriteFault(w, e.Faults.Inject(r.Context(), standin.PointAfter, req.wire.RequestID, 0)) {
				events.writeEnd(current)
			}
			return
		}
		events.flush()
		select {
		case <-current.changed:
		case <-r.Context().Done():
			return
		case <-e.stopped:
			return
		}
	}
}

// eventWriter writes the server-sent events of one stream.
type eventWriter struct {
	writer http.ResponseWriter
	id     string
	offset int // byte offset in the answer of the next token
	sent   int // number of token events written
}

// writeToken writes the next token of the content. Each token ends with a space.
func (w *eventWriter) writeToken(content string) {
	rest := content[w.offset:]
	end := strings.IndexByte(rest, ' ') + 1
	if end == 0 {
		end = len(rest)
	}
	w.writeChunk(enginev1.CompletionChunk{
		Choices: []enginev1.Choice{{Delta: enginev1.Message{Role: "assistant", Content: rest[:end]}}},
	})
	w.offset += end
	w.sent++
}

func (w *eventWriter) writeEnd(final progress) {
	last := enginev1.CompletionChunk{Usage: &final.usage, Error: final.failure}
	if final.failure == "" {
		last.Choices = []enginev1.Choice{{FinishReason: final.finishReason}}
	}
	w.writeChunk(last)
	fmt.Fprint(w.writer, "data: [DONE]\n\n")
	w.flush()
}

func (w *eventWriter) writeChunk(chunk enginev1.CompletionChunk) {
	chunk.ID = w.id
	chunk.Offset = w.offset
	encoded, _ := json.Marshal(chunk) // cannot fail: all fields are of plain types
	fmt.Fprintf(w.writer, "data: %s\n\n", encoded)
}

func (w *eventWriter) flush() {
	if flusher, ok := w.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}
