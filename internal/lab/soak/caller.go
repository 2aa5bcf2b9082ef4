package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller runs programs one after the other.
type caller struct {
	run           *soakRun
	name          string
	random        *rand.Rand
	mutex         sync.Mutex // protects random, requests and retainedTurns, which sub-agents share
	clients       []*http.Client
	protocol      string // empty: HTTP/1.1
	requests      int
	programs      int
	retainedTurns []*attempt // completely answered turns that later programs may continue
}

func newCaller(r *soakRun, index int, random *rand.Rand) *caller {
	c := &caller{run: r, name: fmt.Sprintf("c%d", index), random: random}
	for range r.gateways {
		var transport http.RoundTripper = &http.Transport{DisableKeepAlives: index%2 == 1, DisableCompression: true}
		if index%http10Period == http10Period-1 {
			transport, c.protocol = http10Transport{}, "HTTP/1.0"
		}
		c.clients = append(c.clients, &http.Client{Transport: transport})
	}
	return c
}

// http10Period is the number of callers of which one speaks HTTP/1.0.
const http10Period = 4

// runPrograms runs programs until ctx is done. Requests that are in progress then end
// by themselves.
func (c *caller) runPrograms(ctx context.Context) {
	for ctx.Err() == nil {
		c.runProgram(ctx)
		c.sleep(ctx, c.drawInt(20))
	}
}

func (c *caller) drawInt(limit int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(limit)
}

func (c *caller) sleep(ctx context.Context, durationMS int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(durationMS) * time.Millisecond):
	}
}

// conversation is a sequence of turns of one program.
type conversation struct {
	program string
	budget  int64
	kind    requestKind
	last    *attempt // the last completely answered turn; nil: none
	history string   // prompts and answers of all turns so far
}

const (
	maxTurns         = 6
	maxTokensPerTurn = maxEvents * tokensPerEvent
	maxRetainedTurns = 30
	continueOneIn    = 4  // one in this number of programs continues a turn of another program
	forkOneIn        = 3  // one in this number of turns starts sub-agents
	largeOneIn       = 40 // one in this number of requests to services is large
	loopOneIn        = 6  // one in this number of programs makes turns until its budget is used up
)

// runProgram runs one program: turns, calls to services and sub-agents. Some programs
// continue an earlier one, and some loop until their budget is used up.
func (c *caller) runProgram(ctx context.Context) {
	c.programs++
	conv := &conversation{program: fmt.Sprintf("%s-p%d", c.name, c.programs), kind: kindPlain}
	conv.budget = int64(maxTokensPerTurn * (2 + c.drawInt(30)))
	switch c.drawInt(4) {
	case 0:
		conv.kind = kindRecorded
	case 1:
		conv.kind = kindResumable
	case 2:
		conv.kind = kindContinued
	}
	if continued := c.pickRetainedTurn(); continued != nil && c.drawInt(continueOneIn) == 0 {
		conv.kind, conv.last = kindRecorded, continued
		conv.history = continued.prompt + continued.whole
	}
	turns := 1 + c.drawInt(maxTurns)
	if c.drawInt(loopOneIn) == 0 {
		const beyondAnyBudget = 40
		turns = beyondAnyBudget
	}
	for index := 0; index < turns && ctx.Err() == nil; index++ {
		if !c.sendTurn(ctx, conv) {
			return
		}
		c.callServices(ctx)
		if c.drawInt(forkOneIn) == 0 {
			c.runSubAgents(ctx, *conv)
		}
	}
}

// runSubAgents runs sub-agents concurrently, which all continue the conversation.
func (c *caller) runSubAgents(ctx context.Context, parent conversation) {
	var agents sync.WaitGroup
	for range 2 + c.drawInt(2) {
		agents.Go(func() {
			own := parent
			for range 2 {
				if !c.sendTurn(ctx, &own) {
					return
				}
			}
		})
	}
	agents.Wait()
}

// pickRetainedTurn returns a random turn of an earlier program that ended at most maxRetainedAge
// ago, or nil if there is none.
func (c *caller) pickRetainedTurn() *attempt {
	const maxRetainedAge = 40 * time.Second
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.retainedTurns) > 0 && time.Since(c.retainedTurns[0].ended) > maxRetainedAge {
		c.retainedTurns = c.retainedTurns[1:]
	}
	if len(c.retainedTurns) == 0 {
		return nil
	}
	return c.retainedTurns[c.random.IntN(len(c.retainedTurns))]
}

const maxAttempts = 4 // of one turn

// sendTurn sends the next turn of the conversation until it is completely answered. It
// returns false if it gives up: after maxAttempts, if the budget is used up or the
// previous turn is unknown, or if ctx is done.
func (c *caller) sendTurn(ctx context.Context, conv *conversation) bool {
	if conv.kind.mayBeTakenUp() {
		return c.sendResumableTurn(ctx, conv)
	}
	input := fmt.Sprintf("[input %d of %s]", c.drawInt(1<<20), conv.program)
	for range maxAttempts {
		a := c.newAttempt(conv.kind)
		a.program, a.budget, a.maxTokens, a.input = conv.program, conv.budget, maxTokensPerTurn, input
		a.prompt = conv.history + input
		if conv.kind == kindRecorded && conv.last != nil {
			a.previous = conv.last.id
		}
		c.send(a)
		switch {
		case a.status == http.StatusOK && a.complete:
			a.whole = a.content
			conv.last, conv.history = a, a.prompt+a.whole
			c.retainTurn(a)
			return true
		case a.status == http.StatusPaymentRequired || a.status == http.StatusNotFound || ctx.Err() != nil:
			return false
		}
		c.sleep(ctx, int(a.retryAfter.Milliseconds())+c.drawInt(100))
	}
	return false
}

func (c *caller) retainTurn(a *attempt) {
	if !a.kind.isRecorded() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retainedTurns = append(c.retainedTurns, a)
	c.retainedTurns = c.retainedTurns[max(0, len(c.retainedTurns)-maxRetainedTurns):]
}

// callServices sends up to two requests to services, of random kinds.
func (c *caller) callServices(ctx context.Context) {
	kinds := []requestKind{kindSafe, kindUnsafe, kindMoving}
	for range c.drawInt(3) {
		a := c.newAttempt(kinds[c.drawInt(len(kinds))])
		a.input = fmt.Sprintf("payload %d", c.drawInt(1<<20))
		if rand.IntN(largeOneIn) == 0 { // not of the seed, whose callers stay what they were
			a.input = largeInput(a.input)
		}
		a.prompt = a.input
		c.send(a)
		if ctx.Err() != nil {
			return
		}
	}
}

// probe sends requests of each kind to the gateway with this index until one is answered
// completely, and reports a finding for each kind without an answer in time.
func (c *caller) probe(ctx context.Context, index int) {
	const timeout = 20 * time.Second
	for _, kind := range []requestKind{kindRecorded, kindPlain, kindResumable, kindContinued, kindSafe, kindUnsafe, kindMoving} {
		served := false
		for deadline := time.Now().Add(timeout); !served && time.Now().Before(deadline) && ctx.Err() == nil; {
			a := c.newAttempt(kind)
			a.gateway, a.input, a.prompt = index, "probe", "probe"
			if kind.isTurn() {
				a.program, a.budget, a.maxTokens = a.id, 10*maxTokensPerTurn, maxTokensPerTurn
			}
			c.send(a)
			served = a.status == http.StatusOK && a.complete
			if !served {
				c.sleep(ctx, 50)
			}
		}
		if !served {
			c.run.evidence.addFinding("recovery: gateway %d serves no %s request", index, kind)
		}
	}
}

func (c *caller) newAttempt(k requestKind) *attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests++
	return &attempt{id: fmt.Sprintf("%s-r%d", c.name, c.requests), kind: k, protocol: c.protocol, gateway: c.random.IntN(len(c.run.gateways))}
}

// send sends one request and records the attempt.
func (c *caller) send(a *attempt) {
	a.sent = time.Now()
	patience := routeTimeout
	if a.patience > 0 {
		patience = a.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	a.err = c.exchange(ctx, a)
	a.ended = time.Now()
	a.inTouch = c.run.gateways[a.gateway].isInTouch(a.sent)
	c.run.evidence.recordAttempt(a)
}

func (c *caller) exchange(ctx context.Context, a *attempt) error {
	gateway := c.run.gateways[a.gateway]
	a.toPreviousBuild = gateway.isPreviousBuild.Load()
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.input))
	if a.kind.isTurn() && (!a.kind.isRecorded() || a.previous == "") {
		body = strings.NewReader(a.prompt)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.fromCallers.Address()+a.path(), body)
	if err != nil {
		return err
	}
	request.Host = host
	a.setHeaders(request.Header)
	a.setResumption(request.Header)
	response, err := c.clients[a.gateway].Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.hasStamp = response.Header.Get("Server-Stamp") != ""
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	a.retryAfter = time.Duration(seconds * float64(time.Second))
	if a.status != http.StatusOK {
		return a.readRefusal(response.Body)
	}
	if a.kind.isTurn() {
		return a.readStream(response)
	}
	content, err := io.ReadAll(response.Body)
	a.content = string(content)
	a.setClaim(response, err, false)
	return err
}

func (a *attempt) setHeaders(header http.Header) {
	header.Set("Request-Id", a.id)
	header.Set("Deadline-Ms", strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	key := keyUnlimited
	switch {
	case a.limited:
		key = keyLimited
	case a.kind == kindAdded:
		key = a.addition.key()
	}
	header.Set("Authorization", "Token "+key)
	if a.program == "" {
		return
	}
	header.Set("Program-Id", a.program)
	header.Set("Token-Budget", strconv.FormatInt(a.budget, 10))
	header.Set("Token-Usage", fmt.Sprintf("%d,%d", len(a.prompt), a.maxTokens))
	if a.previous != "" {
		header.Set("Previous-Turn", a.previous)
	}
}

// readStream collects the data of the events.
func (a *attempt) readStream(response *http.Response) error {
	content, end := readEvents(response.Body)
	a.content, a.events, a.wholePart = content, end.events, end.whole
	a.setClaim(response, end.err, end.withinPart)
	return end.err
}

// setClaim records what the response says about its end, and whether its caller takes it for complete.
func (a *attempt) setClaim(response *http.Response, err error, endsWithinPart bool) {
	a.claim = claimOf(response, err, endsWithinPart)
	a.complete = a.claim != claimBroken && a.hasExpectedContent()
}
