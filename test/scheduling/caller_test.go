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
	answerTokens = 100000 // that a call may generate
	dossierWords = 600
	requestBound = 30 * time.Second
)

// caller is the tenant's client; it goes round the daemons.
type caller struct {
	fleet *fleet.Fleet
	turn  atomic.Int64
}

func newCaller(running *fleet.Fleet) *caller { return &caller{fleet: running} }

func name(prefix string, number int) string { return fmt.Sprintf("%s-%d", prefix, number) }

// dossier is a long text; equal numbers give the same.
func dossier(number int) string {
	return strings.Repeat(fmt.Sprintf("page %03d; ", number), dossierWords)
}

// send sends a request until it is answered, and gives its status and reply.
func (c *caller) send(method, path string, body, reply any, preferences ...string) int {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), requestBound)
	defer cancel()
	daemon := c.fleet.Daemons[int(c.turn.Add(1))%len(c.fleet.Daemons)]
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
	status := c.send(http.MethodPost, callerapi.PathPrograms, callerapi.CreateRequest{CreationKey: key, Class: class, TokenBudget: 10 * answerTokens}, &reply)
	Expect(status).To(Equal(http.StatusCreated))
	return reply.Program
}

func callPath(id identity.Program, sequence uint64) string {
	return fmt.Sprintf("%s/%s/calls/%d", callerapi.PathPrograms, id, sequence)
}

func call(question string) callerapi.CallRequest {
	return callerapi.CallRequest{
		Target: program.TargetModel, Name: modelName, MaxTokens: answerTokens,
		Messages: []callerapi.Message{{Role: "user", Content: question}},
	}
}

// submit hands a call in.
func (c *caller) submit(id identity.Program, sequence uint64, question string) {
	Expect(c.send(http.MethodPost, callPath(id, sequence), call(question), nil, "respond-async")).To(Equal(http.StatusAccepted))
}

// awaitAnswer waits until a call is answered.
func (c *caller) awaitAnswer(id identity.Program, sequence uint64) {
	Eventually(func() program.CallState {
		var reply callerapi.CallReply
		c.send(http.MethodGet, callPath(id, sequence), nil, &reply)
		return reply.State
	}).Should(Equal(program.CallAnswered))
}

// answer makes a call and waits for its answer.
func (c *caller) answer(id identity.Program, sequence uint64, question string) {
	c.submit(id, sequence, question)
	c.awaitAnswer(id, sequence)
}

// end ends a program.
func (c *caller) end(id identity.Program) {
	c.send(http.MethodDelete, callerapi.PathPrograms+"/"+string(id), nil, nil)
}

// overload gives an engine more than its batch and its queue, past the
// daemons, and waits until all of them know.
func overload(ctx context.Context, running *fleet.Fleet, engine *fleet.Engine) {
	const requests = 60
	for number := range requests {
		body, err := json.Marshal(enginev1.CompletionRequest{
			RequestID: name("overload/1", number), Program: name("overload", number), Model: modelName,
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
	awaitKnown(ctx, running, engine, BeNumerically(">=", requests))
}

// awaitKnown waits until all daemons know of so many requests at an engine.
func awaitKnown(ctx context.Context, running *fleet.Fleet, engine *fleet.Engine, requests types.GomegaMatcher) {
	for _, daemon := range running.Daemons {
		Eventually(func() int64 {
			status, err := running.Status(ctx, daemon)
			if err != nil {
				return -1
			}
			for _, known := range status.Engines {
				if known.Name == engine.Name {
					return known.Running + known.Waiting
				}
			}
			return -1
		}).Should(requests)
	}
}
