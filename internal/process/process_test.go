package process_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/process"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = Describe("Lifecycle", func() {
	It("never returns to an earlier state, and rejects new work once it drains", func() {
		lifecycle := process.NewLifecycle("process", zap.NewNop())
		Expect(lifecycle.State()).To(Equal(process.StateStarting))
		lifecycle.MarkServing()
		Expect(lifecycle.IsDraining()).To(BeFalse())
		lifecycle.MarkDraining()
		Expect(lifecycle.IsDraining()).To(BeTrue())
		lifecycle.MarkServing()
		Expect(lifecycle.State()).To(Equal(process.StateDraining), "a draining process must not serve again")
		lifecycle.MarkStopped()
		Expect(lifecycle.State()).To(Equal(process.StateStopped))
		Expect(lifecycle.IsDraining()).To(BeTrue())
	})

	It("can stop without having served", func() {
		lifecycle := process.NewLifecycle("process", zap.NewNop())
		lifecycle.MarkStopped()
		Expect(lifecycle.State()).To(Equal(process.StateStopped))
	})
})

var _ = Describe("Conditions", func() {
	It("report which of them do not hold", func() {
		met := false
		conditions := process.Conditions{
			{UnmetMessage: "one is missing", IsMet: func() bool { return met }},
			{UnmetMessage: "never reported", IsMet: func() bool { return true }},
		}
		answer := httptest.NewRecorder()
		conditions.ServeHTTP(answer, nil)
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Body.String()).To(Equal("not ready: one is missing\n"))
		met = true
		answer = httptest.NewRecorder()
		conditions.ServeHTTP(answer, nil)
		Expect(answer.Code).To(Equal(http.StatusOK))
		Expect(conditions.AllMet()).To(BeTrue())
	})
})

var _ = Describe("Endpoint", func() {
	It("serves until it is shut down, and then returns no error", func(ctx SpecContext) {
		opened, err := process.Listen(process.EndpointOptions{Name: "test", Address: "127.0.0.1:0", Log: zap.NewNop()})
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			ended <- opened.Serve(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "x") }))
		}()
		response, err := http.Get("http://" + opened.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		opened.Shutdown(ctx)
		Eventually(ctx, ended).Should(Receive(BeNil()))
	})

	// Guards against requests that are canceled in the middle of their work for a new connection.
	It("does not end a request in progress for a new connection", func() {
		hold := make(chan struct{})
		begun := make(chan struct{}, 1)
		opened, err := process.Listen(process.EndpointOptions{
			Name: "test", Address: "127.0.0.1:0", Limits: process.EndpointLimits{MaxConnections: 1}, Log: zap.NewNop(),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(opened.Close)
		go func() {
			_ = opened.Serve(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				begun <- struct{}{}
				select {
				case <-hold:
				case <-request.Context().Done():
					panic(http.ErrAbortHandler)
				}
			}))
		}()
		for _, body := range []string{"", "body"} {
			statuses := make(chan int, 1)
			go func() {
				response, err := http.Post("http://"+opened.Address(), "text/plain", strings.NewReader(body))
				if err != nil {
					statuses <- 0
					return
				}
				_ = response.Body.Close()
				statuses <- response.StatusCode
			}()
			Eventually(begun).Should(Receive())
			for range 3 {
				further, err := net.Dial("tcp4", opened.Address())
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(further.Close)
				Expect(further.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
				_, err = further.Read(make([]byte, 1))
				Expect(err).To(HaveOccurred())
			}
			Expect(statuses).NotTo(Receive())
			hold <- struct{}{}
			Eventually(statuses).Should(Receive(Equal(200)))
		}
	})

	It("returns an error with its name if it cannot listen at the address", func() {
		_, err := process.Listen(process.EndpointOptions{Name: "test", Address: "nowhere", Log: zap.NewNop()})
		Expect(err).To(MatchError(ContainSubstring("listen for test at nowhere")))
	})
})
