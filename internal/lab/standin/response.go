package standin

import (
	"bytes"
	"net/http"
)

// bufferedResponse is an http.ResponseWriter that stores the response until
// writeTo is called. Not safe for concurrent use.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newBufferedResponse() *bufferedResponse {
	return &bufferedResponse{header: http.Header{}, status: http.StatusOK}
}

func (b *bufferedResponse) Header() http.Header { return b.header }

func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

func (b *bufferedResponse) writeTo(w http.ResponseWriter) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}
