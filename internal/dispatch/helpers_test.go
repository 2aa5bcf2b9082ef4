package dispatch_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
)

const testProgram = identity.Program("p0001-aaaaaaaaaaaaaaaaaaaaaaaaaa")

// testBackEnd serves a handler over HTTP and counts the posts. If intercept is
// set, it is called first and returns true for requests that it has answered.
type testBackEnd struct {
	address   string
	intercept func(http.ResponseWriter, *http.Request) bool
	posts     atomic.Int64
}

func serve(handler http.Handler) *testBackEnd {
	backEnd := &testBackEnd{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			backEnd.posts.Add(1)
		}
		if backEnd.intercept == nil || !backEnd.intercept(writer, request) {
			handler.ServeHTTP(writer, request)
		}
	}))
	backEnd.address = server.URL
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return backEnd
}

func modelOrder(address string) dispatch.AttemptSpec {
	return dispatch.AttemptSpec{
		Program: testProgram, Number: 1, Class: "interactive", BackEnd: "engine-1", Address: address, ReservedTokens: 50,
		History:  []program.Message{{Role: "user", Content: "before"}},
		Call:     program.CallSpec{Sequence: 3, Target: program.TargetModel, Name: "model", MaxTokens: 80, Messages: []program.Message{{Role: "user", Content: "now tokens=60"}}},
		Deadline: time.Now().Add(20 * time.Second),
	}
}

func serviceOrder(address string, notRepeatable bool) dispatch.AttemptSpec {
	return dispatch.AttemptSpec{
		Program: testProgram, Number: 2, BackEnd: "ledger", Address: address,
		Call: program.CallSpec{
			Sequence: 5, Target: program.TargetService, Name: "ledger", Operation: "fund", Payload: []byte("x"), NotRepeatable: notRepeatable,
		},
		Deadline: time.Now().Add(20 * time.Second),
	}
}

func newDispatcher() *dispatch.HTTP {
	dispatcher := dispatch.NewHTTP(dispatch.Options{
		InitialRetryDelay: time.Millisecond, MaxRetryDelay: 4 * time.Millisecond, MaxLookupTries: 6, StreamIdleTimeout: 5 * time.Second,
	})
	DeferCleanup(dispatcher.Close)
	return dispatcher
}
