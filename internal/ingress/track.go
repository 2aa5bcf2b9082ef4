package ingress

import (
	"errors"
	"io"
	"net/http"
)

// errEvicted is returned instead of the end of a body whose client was given up.
var errEvicted = errors.New("the client was given up to make room for others")

// TrackInput returns a handler that calls Conn.InputComplete once the body of a request was read to its
// end, or at once if there is none. It is for handlers that do not do so themselves. A request whose
// client was given up before is ended, or its body ends with an error.
func TrackInput(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := FromContext(request.Context())
		if request.ContentLength != 0 {
			request.Body = &trackedBody{ReadCloser: request.Body, conn: conn}
		} else if !conn.InputComplete() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, request)
	})
}

// trackedBody is a body that calls Conn.InputComplete at its end.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) && !b.conn.InputComplete() {
		return count, errEvicted
	}
	return count, err
}
