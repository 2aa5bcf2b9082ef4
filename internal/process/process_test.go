package process_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/process"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = Describe("Life", func() {
	It("never returns to an earlier state, and rejects new work once it drains", func() {
		life := process.NewLife("process", zap.NewNop())
		Expect(life.State()).To(Equal(process.StateStarting))
		life.Serve()
		Expect(life.Draining()).To(BeFalse())
		life.Drain()
		Expect(life.Draining()).To(BeTrue())
		life.Serve()
		Expect(life.State()).To(Equal(process.StateDraining), "a draining process must not serve again")
		life.Stop()
		Expect(life.State()).To(Equal(process.StateStopped))
		Expect(life.Draining()).To(BeTrue())
	})

	It("can stop without having served", func() {
		life := process.NewLife("process", zap.NewNop())
		life.Stop()
		Expect(life.State()).To(Equal(process.StateStopped))
	})
})

var _ = Describe("Conditions", func() {
	It("report which of them do not hold", func() {
		met := false
		conditions := process.Conditions{
			{Unmet: "one is missing", Holds: func() bool { return met }},
			{Unmet: "never reported", Holds: func() bool { return true }},
		}
		answer := httptest.NewRecorder()
		conditions.ServeHTTP(answer, nil)
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Body.String()).To(Equal("not ready: one is missing\n"))
		met = true
		answer = httptest.NewRecorder()
		conditions.ServeHTTP(answer, nil)
		Expect(answer.Code).To(Equal(http.StatusOK))
		Expect(conditions.Hold()).To(BeTrue())
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

	It("returns an error with its name if it cannot listen at the address", func() {
		_, err := process.Listen(process.EndpointOptions{Name: "test", Address: "nowhere", Log: zap.NewNop()})
		Expect(err).To(MatchError(ContainSubstring("listen for test at nowhere")))
	})
})
