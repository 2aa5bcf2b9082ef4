package replay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
)

// lingeringWriter sends what is written to the client, but returns from Flush only when it is
// released.
type lingeringWriter struct {
	http.ResponseWriter
	released <-chan struct{}
}

func (w lingeringWriter) Flush() {
	w.ResponseWriter.(http.Flusher).Flush()
	<-w.released
}

var _ = Describe("Recorder", func() {
	// Guards against a call that is lost because the recorder has not noted its program yet.
	It("records a call that is made as soon as its program's creation is answered", func() {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == callerapi.PathPrograms {
				_, _ = w.Write([]byte(`{"program":"p0001-a"}`))
			}
		}))
		DeferCleanup(daemon.Close)
		recorder := NewRecorder(daemon.URL)
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == callerapi.PathPrograms {
				w = lingeringWriter{w, released}
			}
			recorder.ServeHTTP(w, r)
		}))
		DeferCleanup(front.Close)
		DeferCleanup(release)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // the call must not wait for the first connection
		post := func(path string, body any) *http.Response {
			encoded, err := json.Marshal(body)
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Post(front.URL+path, "application/json", bytes.NewReader(encoded))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(response.Body.Close)
			return response
		}

		created := post(callerapi.PathPrograms, callerapi.CreateRequest{CreationKey: "k", TokenBudget: 5})
		var reply callerapi.CreateReply
		Expect(json.NewDecoder(created.Body).Decode(&reply)).To(Succeed())
		post(callPath(reply.Program, 1), requestOf(Call{Model: "m", Say: "hello"}))
		release()
		programs := func() []Program { return recorder.Trace("t", fleet.Deployment{Zones: []string{"a"}}).Programs }
		Eventually(programs).Should(ConsistOf(HaveField("Calls", HaveLen(1))))
	})
})
