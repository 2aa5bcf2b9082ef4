package appservice_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

func TestAppService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "application service")
}

var _ = Describe("Service", func() {
	var (
		service *appservice.Service
		server  *httptest.Server
	)
	BeforeEach(func() {
		service = appservice.New(appservice.Options{
			Name:  "ledger",
			Hangs: func(operation string) bool { return operation == "hang" },
		})
		server = httptest.NewServer(service)
		DeferCleanup(server.Close)
	})
	execute := func(operation, attempt string) (*http.Response, error) {
		body, err := json.Marshal(enginev1.ExecuteRequest{
			CallID: "p/1", AttemptID: attempt, Program: "p", Operation: operation, Payload: []byte("x"),
		})
		Expect(err).NotTo(HaveOccurred())
		return http.Post(server.URL+enginev1.PathExecute, "application/json", bytes.NewReader(body))
	}

	It("counts each execution, also if its response is lost", func() {
		service.Faults.Set([]standin.Rule{{Point: standin.PointAfter, Match: "p/1/1", Action: standin.ActionLose}})
		_, err := execute("flag", "p/1/1")
		Expect(err).To(HaveOccurred())
		found, err := http.Get(server.URL + enginev1.PathExecutions + "p%2F1")
		Expect(err).NotTo(HaveOccurred())
		defer found.Body.Close()
		var reply enginev1.ExecuteReply
		Expect(json.NewDecoder(found.Body).Decode(&reply)).To(Succeed())
		Expect(reply).To(HaveField("Payload", appservice.Answer("flag", []byte("x"))))
		_, err = execute("flag", "p/1/2")
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Records().Executions).To(ConsistOf(HaveField("Executions", 2)))
	})

	It("ends a hanging operation on cancellation and does not count it as executed", func() {
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := execute("hang", "p/1/1")
			Expect(err).NotTo(HaveOccurred())
			statuses <- response.StatusCode
		}()
		Eventually(func() []appservice.CallRecord { return service.Records().Executions }).Should(HaveLen(1))
		request, err := http.NewRequest(http.MethodDelete, server.URL+enginev1.PathExecutions+"p/1", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Eventually(statuses).Should(Receive(Equal(http.StatusOK)))
		Expect(service.Records().Executions).To(ConsistOf(HaveField("Executions", 0)))
		unknown, err := http.NewRequest(http.MethodDelete, server.URL+enginev1.PathExecutions+"p/2", nil)
		Expect(err).NotTo(HaveOccurred())
		missing, err := http.DefaultClient.Do(unknown)
		Expect(err).NotTo(HaveOccurred())
		Expect(missing.StatusCode).To(Equal(http.StatusNotFound))
	})
})
