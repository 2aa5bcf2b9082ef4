package callerapi_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

const (
	bodyLimit    = 4096
	writeTimeout = 500 * time.Millisecond
)

func tenantWithKey(name identity.Tenant, key string) configuration.Tenant {
	return configuration.Tenant{Name: name, KeyHashes: []string{tenant.HashKey(key).String()}}
}

// endpoint is an HTTP server with the handler under test and fake programs.
type endpoint struct {
	*httptest.Server
	programs    *fakePrograms
	registry    *prometheus.Registry
	draining    bool
	unconfirmed bool // if true, the configuration is not confirmed
	snapshot    *configuration.Snapshot
	// onConfirmation, if not nil, is called when the handler asks whether the configuration is confirmed.
	onConfirmation func()
}

func newEndpoint(programs *fakePrograms) *endpoint {
	served := &endpoint{programs: programs, registry: prometheus.NewRegistry()}
	served.snapshot = configuration.NewSnapshot(1, configuration.Document{
		Tenants: []configuration.Tenant{tenantWithKey("brackenlaw", "key-b"), tenantWithKey("theory-desk", "key-t")},
	})
	limits := callerapi.DefaultLimits
	limits.MaxBodyBytes = bodyLimit
	limits.WriteTimeout = writeTimeout
	served.Server = httptest.NewServer(callerapi.NewHandler(callerapi.Options{
		Programs:      programs,
		Configuration: fakeSource{served},
		Limits:        limits,
		Registerer:    served.registry,
		IsDraining:    func() bool { return served.draining },
	}))
	DeferCleanup(served.Close)
	return served
}

type result struct {
	status int
	header http.Header
	body   string
}

func (r result) problem() callerapi.Problem {
	GinkgoHelper()
	Expect(r.header.Get("Content-Type")).To(Equal("application/problem+json"), r.body)
	var found callerapi.Problem
	Expect(json.Unmarshal([]byte(r.body), &found)).To(Succeed())
	Expect(found.Status).To(Equal(r.status))
	return found
}

func (e *endpoint) send(method, path, key, body string, headers ...string) result {
	GinkgoHelper()
	request, err := http.NewRequest(method, e.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := e.Client().Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return result{status: response.StatusCode, header: response.Header, body: string(content)}
}

func (e *endpoint) create(key string) identity.Program {
	GinkgoHelper()
	reply := e.send("POST", "/v1/programs", key, `{"creation_key":"one"}`)
	Expect(reply.status).To(Equal(http.StatusCreated), reply.body)
	var created callerapi.CreateReply
	Expect(json.Unmarshal([]byte(reply.body), &created)).To(Succeed())
	return created.Program
}

func pieceReply(content string) execution.FollowReply {
	return execution.FollowReply{Content: content, State: program.CallDispatched}
}

func restartReply(content string) execution.FollowReply {
	return execution.FollowReply{Content: content, Restarted: true, State: program.CallDispatched}
}

func answeredReply(content string) execution.FollowReply {
	return execution.FollowReply{
		Done:   true,
		State:  program.CallAnswered,
		Answer: &program.Answer{Content: content, FinishReason: "stop", CompletionTokens: 2},
	}
}

const modelCall = `{"target":"model","name":"assess","messages":[{"role":"user","content":"hi"}],"max_tokens":8%s}`

var _ = Describe("callers' endpoint", func() {
	It("creates, calls, reads and ends a program", func() {
		served := newEndpoint(newFakePrograms(pieceReply("hel"), pieceReply("lo"), answeredReply("hello")))
		id := served.create("key-b")
		path := fmt.Sprintf("/v1/programs/%s/calls/1", id)
		reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, ""))
		Expect(reply.status).To(Equal(http.StatusOK), reply.body)
		Expect(reply.body).To(ContainSubstring(`"content":"hello"`))
		Expect(served.send("GET", path, "key-b", "").body).To(ContainSubstring(`"state":"answered"`))
		Expect(served.send("GET", "/v1/programs/"+string(id)+"/history", "key-b", "").body).To(ContainSubstring(`"content":"hi"`))
		async := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, ""), "Prefer", "respond-async")
		Expect(async.status).To(Equal(http.StatusAccepted))
		Expect(async.header.Get("Location")).To(Equal(path))
		Expect(served.send("DELETE", "/v1/programs/"+string(id), "key-b", "").status).To(Equal(http.StatusNoContent))
	})

	DescribeTable("rejects invalid requests with a status and kind, and submits no call",
		func(status int, kind problem.Kind, send func(*endpoint, string) result) {
			served := newEndpoint(newFakePrograms(answeredReply("no")))
			path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
			reply := send(served, path)
			Expect(reply.status).To(Equal(status), reply.body)
			found := reply.problem()
			Expect(found.Type).To(Equal("urn:thymeloft:problem:" + string(kind)))
			Expect(found.Outcome).To(BeEmpty())
			Expect(served.programs.submitted).To(BeEmpty())
		},
		Entry("no key", 401, problem.KindUnauthenticated, func(e *endpoint, path string) result {
			return e.send("POST", path, "", fmt.Sprintf(modelCall, ""))
		}),
		Entry("unknown key", 401, problem.KindUnauthenticated, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-x", fmt.Sprintf(modelCall, ""))
		}),
		Entry("foreign tenant", 404, problem.KindUnknownProgram, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-t", fmt.Sprintf(modelCall, ""))
		}),
		Entry("identifier never issued", 404, problem.KindUnknownProgram, func(e *endpoint, _ string) result {
			return e.send("POST", "/v1/programs/mine/calls/1", "key-b", fmt.Sprintf(modelCall, ""))
		}),
		Entry("unknown field", 400, problem.KindMalformed, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"colour":"red"`))
		}),
		Entry("two values", 400, problem.KindMalformed, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-b", fmt.Sprintf(modelCall, "")+"{}")
		}),
		Entry("sequence zero", 400, problem.KindMalformed, func(e *endpoint, path string) result {
			return e.send("POST", strings.TrimSuffix(path, "1")+"0", "key-b", fmt.Sprintf(modelCall, ""))
		}),
		Entry("no target", 400, problem.KindMalformed, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-b", `{"name":"x"}`)
		}),
		Entry("deadline out of range", 400, problem.KindMalformed, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"deadline_ms":-1`))
		}),
		Entry("body too large", 413, problem.KindTooLarge, func(e *endpoint, path string) result {
			return e.send("POST", path, "key-b", fmt.Sprintf(modelCall, strings.Repeat(" ", bodyLimit)))
		}),
		Entry("unknown field of a completion", 400, problem.KindMalformed, func(e *endpoint, _ string) result {
			return e.send("POST", "/v1/chat/completions", "key-b", `{"model":"m","messages":[{"role":"user","content":"x"}],"logprobs":true}`)
		}),
		Entry("program without sequence", 400, problem.KindMalformed, func(e *endpoint, _ string) result {
			return e.send("POST", "/v1/chat/completions", "key-b", `{"model":"m","messages":[{"role":"user","content":"x"}]}`, "Thymeloft-Program", "p0001-x")
		}),
	)

	It("responds 503, not 401, to an unknown key while the configuration is not confirmed", func() {
		served := newEndpoint(newFakePrograms())
		served.unconfirmed = true
		reply := served.send("POST", "/v1/programs", "key-declared-since", `{"creation_key":"one"}`)
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
		served.create("key-b")
	})

	// Guards against a 401 by an old revision that is thought to be as fresh as its replacement.
	It("accepts a key of a revision that is put in force while the request is authenticated", func() {
		served := newEndpoint(newFakePrograms())
		served.onConfirmation = func() {
			served.snapshot = configuration.NewSnapshot(2, configuration.Document{Tenants: []configuration.Tenant{tenantWithKey("brackenlaw", "key-new")}})
		}
		served.create("key-new")
	})

	It("returns problems with their outcome and Retry-After", func() {
		served := newEndpoint(newFakePrograms())
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		served.programs.submitProblem = problem.New(problem.KindRefused, "admit", "busy").
			WithOutcome(problem.OutcomeNotRun).WithRetryAfter(1)
		reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, ""))
		Expect(reply.status).To(Equal(http.StatusTooManyRequests))
		Expect(reply.header.Get("Retry-After")).To(Equal("1"))
		Expect(reply.problem().Outcome).To(Equal(problem.OutcomeNotRun))
	})

	It("reports an unknown outcome at the deadline, with the path to read it and Retry-After", func() {
		served := newEndpoint(newFakePrograms())
		served.programs.silent = true
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"deadline_ms":1`))
		Expect(reply.status).To(Equal(http.StatusGatewayTimeout), reply.body)
		Expect(reply.problem().Outcome).To(Equal(problem.OutcomeUnknown))
		Expect(reply.problem().ReadAt).To(Equal(path))
		Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(served.send("GET", path+"?wait_ms=1", "key-b", "").status).To(Equal(http.StatusAccepted))
	})

	It("rejects new work while draining, but not a call that is already in the log", func() {
		served := newEndpoint(newFakePrograms())
		id := served.create("key-b")
		path := fmt.Sprintf("/v1/programs/%s/calls/1", id)
		served.draining = true
		Expect(served.send("POST", "/v1/programs", "key-b", `{"creation_key":"two"}`).status).To(Equal(http.StatusServiceUnavailable))
		Expect(served.send("POST", path, "key-b", fmt.Sprintf(modelCall, "")).problem().Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(served.programs.submitted).To(BeEmpty())
		served.programs.replies = []execution.FollowReply{answeredReply("stands")}
		Expect(served.send("POST", path, "key-b", fmt.Sprintf(modelCall, "")).body).To(ContainSubstring("stands"))
	})
})
