package scheduling_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	maxAnswerTokens    = 100000 // limit of each call
	dossierRepetitions = 600
	requestTimeout     = 30 * time.Second
)

// caller is an API client of the tenant. Its requests go to the daemons in turn. It is
// safe for concurrent use.
type caller struct {
	fleet *fleet.Fleet
	next  atomic.Int64
}

func newCaller(running *fleet.Fleet) *caller { return &caller{fleet: running} }

func numberedName(prefix string, index int) string { return fmt.Sprintf("%s-%d", prefix, index) }

// dossier returns a long text. Equal numbers give equal texts.
func dossier(number int) string {
	return strings.Repeat(fmt.Sprintf("page %03d; ", number), dossierRepetitions)
}

// send sends one request to the next daemon and returns the status. It decodes the
// response into reply if the status is 2xx and reply is not nil.
func (c *caller) send(method, path string, body, reply any, preferences ...string) int {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	daemon := c.fleet.Daemons[int(c.next.Add(1))%len(c.fleet.Daemons)]
	request, err := http.NewRequestWithContext(ctx, method, daemon.CallerURL()+path, bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+fleet.TenantKey(tenantName))
	request.Header.Set("Content-Type", "application/json")
	for _, preference := range preferences {
		request.Header.Add("Prefer", preference)
	}
	response, err := c.fleet.HTTP.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	if response.StatusCode/100 == 2 && reply != nil {
		Expect(json.Unmarshal(text, reply)).To(Succeed())
	}
	return response.StatusCode
}

func (c *caller) create(key, class string) identity.Program {
	var reply callerapi.CreateReply
	status := c.send(http.MethodPost, callerapi.PathPrograms, callerapi.CreateRequest{CreationKey: key, Class: class, TokenBudget: 10 * maxAnswerTokens}, &reply)
	Expect(status).To(Equal(http.StatusCreated))
	return reply.Program
}

func callPath(id identity.Program, sequence uint64) string {
	return fmt.Sprintf("%s/%s/calls/%d", callerapi.PathPrograms, id, sequence)
}

func modelCall(question string) callerapi.CallRequest {
	return callerapi.CallRequest{
		Target: program.TargetModel, Name: modelName, MaxTokens: maxAnswerTokens,
		Messages: []callerapi.Message{{Role: "user", Content: question}},
	}
}

// submit submits a call without waiting for its answer.
func (c *caller) submit(id identity.Program, sequence uint64, question string) {
	Expect(c.send(http.MethodPost, callPath(id, sequence), modelCall(question), nil, "respond-async")).To(Equal(http.StatusAccepted))
}

// awaitAnswer waits until the call is answered.
func (c *caller) awaitAnswer(id identity.Program, sequence uint64) {
	Eventually(func() program.CallState {
		var reply callerapi.CallReply
		c.send(http.MethodGet, callPath(id, sequence), nil, &reply)
		return reply.State
	}).Should(Equal(program.CallAnswered))
}

// submitAndAwait submits a call and waits for its answer.
func (c *caller) submitAndAwait(id identity.Program, sequence uint64, question string) {
	c.submit(id, sequence, question)
	c.awaitAnswer(id, sequence)
}

func (c *caller) end(id identity.Program) {
	c.send(http.MethodDelete, callerapi.PathPrograms+"/"+string(id), nil, nil)
}

// overloadEngine sends an engine, directly and not through the daemons, more requests
// than its batch and queue can hold, and waits until all daemons report them. The
// requests last until ctx is done.
func overloadEngine(ctx context.Context, running *fleet.Fleet, engine *fleet.Engine) {
	const requests = 60
	for index := range requests {
		body, err := json.Marshal(enginev1.CompletionRequest{
			RequestID: numberedName("overload/1", index), Program: numberedName("overload", index), Model: modelName,
			Messages: []enginev1.Message{{Role: "user", Content: "tokens=100000"}}, MaxTokens: 100000, Stream: true,
		})
		Expect(err).NotTo(HaveOccurred())
		response, err := running.HTTP.Post(engine.URL+enginev1.PathCompletions, "application/json", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			<-ctx.Done()
			response.Body.Close()
		}()
	}
	awaitReportedRequests(ctx, running, engine, BeNumerically(">=", requests))
}

// awaitReportedRequests waits until, at every daemon, the number of running and waiting
// requests of the engine satisfies the matcher.
func awaitReportedRequests(ctx context.Context, running *fleet.Fleet, engine *fleet.Engine, matcher types.GomegaMatcher) {
	for _, daemon := range running.Daemons {
		Eventually(func() int64 {
			status, err := running.Status(ctx, daemon)
			if err != nil {
				return -1
			}
			for _, reported := range status.Engines {
				if reported.Name == engine.Name {
					return reported.Running + reported.Waiting
				}
			}
			return -1
		}).Should(matcher)
	}
}
