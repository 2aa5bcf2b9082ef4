package soak

import (
	"bufio"
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

// caller plays programs, one after the other.
type caller struct {
	world    *world
	name     string
	random   *rand.Rand
	mutex    sync.Mutex // of random, which sub-agents share
	clients  []*http.Client
	requests int
	programs int
	earlier  []*attempt // turns answered whole, to go on from later
}

func newCaller(played *world, number int, random *rand.Rand) *caller {
	made := &caller{world: played, name: fmt.Sprintf("c%d", number), random: random}
	for range played.gateways {
		transport := &http.Transport{DisableKeepAlives: number%2 == 1, DisableCompression: true}
		made.clients = append(made.clients, &http.Client{Transport: transport})
	}
	return made
}

// play goes on until the context ends; what is under way ends by itself.
func (c *caller) play(ctx context.Context) {
	for ctx.Err() == nil {
		c.program(ctx)
		c.pause(ctx, c.drawn(20))
	}
}

func (c *caller) drawn(below int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.random.IntN(below)
}

func (c *caller) pause(ctx context.Context, milliseconds int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	}
}

// line is one line of turns of a program.
type line struct {
	program string
	budget  int64
	kind    kind
	last    *attempt // answered whole
	history string   // what an engine has heard and said in this line
}

const (
	mostTurns    = 6
	mostPerTurn  = mostItems * tokensPerItem
	keptEarlier  = 30
	earlierShare = 4 // one program in so many goes on from a turn of another
	forkShare    = 3
	loopShare    = 6
)

// program plays one: turns, calls of tools, sub-agents, sometimes a loop that
// its budget has to end, sometimes one that goes on from an earlier one.
func (c *caller) program(ctx context.Context) {
	c.programs++
	current := &line{program: fmt.Sprintf("%s-p%d", c.name, c.programs), kind: kindPlain}
	current.budget = int64(mostPerTurn * (2 + c.drawn(30)))
	if c.drawn(2) == 0 {
		current.kind = kindRecorded
	}
	if earlier := c.earlierTurn(); earlier != nil && c.drawn(earlierShare) == 0 {
		current.kind, current.last = kindRecorded, earlier
		current.history = earlier.prompt + earlier.content
	}
	turns := 1 + c.drawn(mostTurns)
	if c.drawn(loopShare) == 0 {
		const beyondAnyBudget = 40
		turns = beyondAnyBudget
	}
	for number := 0; number < turns && ctx.Err() == nil; number++ {
		if !c.turn(ctx, current) {
			return
		}
		c.tools(ctx)
		if c.drawn(forkShare) == 0 {
			c.fork(ctx, *current)
		}
	}
}

// fork lets sub-agents go on from where the line stands, side by side.
func (c *caller) fork(ctx context.Context, from line) {
	var agents sync.WaitGroup
	for range 2 + c.drawn(2) {
		agents.Go(func() {
			own := from
			for range 2 {
				if !c.turn(ctx, &own) {
					return
				}
			}
		})
	}
	agents.Wait()
}

// earlierTurn draws a turn of another program that is not too old.
func (c *caller) earlierTurn() *attempt {
	const longestKept = 40 * time.Second
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.earlier) > 0 && time.Since(c.earlier[0].ended) > longestKept {
		c.earlier = c.earlier[1:]
	}
	if len(c.earlier) == 0 {
		return nil
	}
	return c.earlier[c.random.IntN(len(c.earlier))]
}

const mostTries = 4

// turn sends the next turn of the line until it is answered whole.
func (c *caller) turn(ctx context.Context, of *line) bool {
	input := fmt.Sprintf("[input %d of %s]", c.drawn(1<<20), of.program)
	for range mostTries {
		one := c.attempt(of.kind)
		one.program, one.budget, one.most, one.input = of.program, of.budget, mostPerTurn, input
		one.prompt = of.history + input
		if of.kind == kindRecorded && of.last != nil {
			one.previous = of.last.id
		}
		c.send(one)
		switch {
		case one.status == http.StatusOK && one.complete:
			of.last, of.history = one, one.prompt+one.content
			c.remember(one)
			return true
		case one.status == http.StatusPaymentRequired || one.status == http.StatusNotFound || ctx.Err() != nil:
			return false
		}
		c.pause(ctx, int(one.after.Milliseconds())+c.drawn(100))
	}
	return false
}

func (c *caller) remember(one *attempt) {
	if one.kind != kindRecorded {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.earlier = append(c.earlier, one)
	c.earlier = c.earlier[max(0, len(c.earlier)-keptEarlier):]
}

// tools calls services, as programs do between turns.
func (c *caller) tools(ctx context.Context) {
	kinds := []kind{kindSafe, kindUnsafe, kindMoving}
	for range c.drawn(3) {
		one := c.attempt(kinds[c.drawn(len(kinds))])
		one.input = fmt.Sprintf("payload %d", c.drawn(1<<20))
		one.prompt = one.input
		c.send(one)
		if ctx.Err() != nil {
			return
		}
	}
}

// probe demands one answer of each kind of one gateway.
func (c *caller) probe(ctx context.Context, number int) {
	const patience = 20 * time.Second
	for _, of := range []kind{kindRecorded, kindPlain, kindSafe, kindUnsafe, kindMoving} {
		served := false
		for deadline := time.Now().Add(patience); !served && time.Now().Before(deadline) && ctx.Err() == nil; {
			one := c.attempt(of)
			one.gateway, one.input, one.prompt = number, "probe", "probe"
			if of == kindRecorded || of == kindPlain {
				one.program, one.budget, one.most = one.id, 10*mostPerTurn, mostPerTurn
			}
			c.send(one)
			served = one.status == http.StatusOK && one.complete
			if !served {
				c.pause(ctx, 50)
			}
		}
		if !served {
			c.world.evidence.find("recovery: gateway %d serves no %s request", number, of)
		}
	}
}

func (c *caller) attempt(of kind) *attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requests++
	return &attempt{id: fmt.Sprintf("%s-r%d", c.name, c.requests), kind: of, gateway: c.random.IntN(len(c.world.gateways))}
}

// send makes one request and notes what came of it.
func (c *caller) send(one *attempt) {
	one.sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	one.err = c.exchange(ctx, one)
	one.ended = time.Now()
	c.world.evidence.attempted(one)
}

func (c *caller) exchange(ctx context.Context, one *attempt) error {
	gateway := c.world.gateways[one.gateway]
	method, body := http.MethodPost, io.Reader(strings.NewReader(one.input))
	if one.kind == kindRecorded && one.previous == "" {
		body = strings.NewReader(one.prompt)
	}
	if one.kind == kindPlain {
		body = strings.NewReader(one.prompt)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.callers.Address()+pathOf(one.kind), body)
	if err != nil {
		return err
	}
	request.Host = host
	one.headers(request.Header)
	response, err := c.clients[one.gateway].Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	one.status = response.StatusCode
	one.signed = response.Header.Get("Server-Stamp") != ""
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	one.after = time.Duration(seconds * float64(time.Second))
	if one.kind == kindRecorded || one.kind == kindPlain {
		return one.readStream(response.Body)
	}
	content, err := io.ReadAll(response.Body)
	one.content, one.complete = string(content), err == nil
	return err
}

func (a *attempt) headers(header http.Header) {
	header.Set("Request-Id", a.id)
	header.Set("Deadline-Ms", strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	key := keyUnlimited
	if a.limited {
		key = keyLimited
	}
	header.Set("Authorization", "Token "+key)
	if a.program == "" {
		return
	}
	header.Set("Program-Id", a.program)
	header.Set("Token-Budget", strconv.FormatInt(a.budget, 10))
	header.Set("Token-Usage", fmt.Sprintf("%d,%d", len(a.prompt), a.most))
	if a.previous != "" {
		header.Set("Previous-Turn", a.previous)
	}
}

// readStream collects the data of events; the answer is whole if it ends
// cleanly behind an event.
func (a *attempt) readStream(body io.Reader) error {
	reader := bufio.NewReader(body)
	for {
		text, err := reader.ReadString('\n')
		if data, is := strings.CutPrefix(text, "data: "); is && strings.HasSuffix(text, "\n") {
			a.content += data
			a.items++
		}
		if err != nil {
			a.complete = err == io.EOF && a.status == http.StatusOK && text == ""
			return err
		}
	}
}
