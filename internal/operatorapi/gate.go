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

// gate lets requests with an operator's key through, a bounded number at once.
type gate struct {
	keys  []key
	slots chan struct{}
	next  http.Handler
}

type operatorKey struct{}

// operatorOf gives the name of the operator whose key the request carried.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// ServeHTTP refuses requests without a known key before it reads their body.
func (g *gate) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	presented, bearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	operator, known := matchKey(g.keys, presented)
	if !bearer || !known {
		refuse(response, request, connect.CodeUnauthenticated, "a known operator's key is needed: Authorization: Bearer <key>")
		return
	}
	request = request.WithContext(context.WithValue(request.Context(), operatorKey{}, operator))
	if request.URL.Path == operatorv1connect.OperatorServiceWatchConfigurationProcedure {
		// A stream outlives the listener's write timeout; its number is bounded by the watchers' slots.
		// A writer without deadlines needs none taken off.
		_ = http.NewResponseController(response).SetWriteDeadline(time.Time{})
		g.next.ServeHTTP(response, request)
		return
	}
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
		g.next.ServeHTTP(response, request)
	default:
		refuse(response, request, connect.CodeResourceExhausted, "too many operators' calls under way; try again in a second")
	}
}

func refuse(response http.ResponseWriter, request *http.Request, code connect.Code, text string) {
	// Fails only when the operator's connection is gone, and then nobody waits for it.
	_ = connect.NewErrorWriter().Write(response, request, connect.NewError(code, errors.New(text)))
}
