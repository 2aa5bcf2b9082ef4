package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
)

// authHandler passes requests with a known operator key to the next handler. It
// limits the number of concurrent calls; WatchConfiguration streams have a limit
// of their own.
type authHandler struct {
	keys      []hashedKey
	callSlots chan struct{} // holds one element for each running call
	next      http.Handler
}

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorOf returns the name of the operator who sent the request, or "" if the
// context does not belong to an authenticated request.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// ServeHTTP implements http.Handler. It rejects a request without a known key
// before it reads the body.
func (h *authHandler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	presented, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	operator, known := matchKey(h.keys, presented)
	if !bearer || !known {
		writeError(response, request, connect.CodeUnauthenticated, "operator key is missing or unknown; send it as Authorization: Bearer <key>")
		return
	}
	request = request.WithContext(context.WithValue(request.Context(), operatorContextKey{}, operator))
	if request.URL.Path == operatorv1connect.OperatorServiceWatchConfigurationProcedure {
		// Remove the write deadline, since a stream may last longer than the listener's write
		// timeout. The error is ignored: a response writer without deadlines needs no change.
		_ = http.NewResponseController(response).SetWriteDeadline(time.Time{})
		h.next.ServeHTTP(response, request)
		return
	}
	select {
	case h.callSlots <- struct{}{}:
		defer func() { <-h.callSlots }()
		h.next.ServeHTTP(response, request)
	default:
		writeError(response, request, connect.CodeResourceExhausted, "too many concurrent operator calls; try again in a second")
	}
}

// writeError writes an error response with the code and text.
func writeError(response http.ResponseWriter, request *http.Request, code connect.Code, text string) {
	// The error is ignored: it means that the operator's connection is closed.
	_ = connect.NewErrorWriter().Write(response, request, connect.NewError(code, errors.New(text)))
}
