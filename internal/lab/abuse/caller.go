package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Served counts requests of ordinary callers.
type Served struct {
	Sent     int
	OK       int           // answered 200 within their deadline, in any attempt
	Quickly  int           // of these, within quickTime
	Longest  time.Duration // longest time of a request until it was served or given up
	Took     time.Duration // time of all requests until then
	Outcomes map[string]int
}

// quickTime is the time within which a request counts as quickly served.
const quickTime = time.Second

func (s *Served) record(ok bool, took time.Duration) {
	s.Sent++
	s.Longest = max(s.Longest, took)
	s.Took += took
	if !ok {
		return
	}
	s.OK++
	if took <= quickTime {
		s.Quickly++
	}
}

func (s *Served) add(other Served) {
	s.Sent += other.Sent
	s.OK += other.OK
	s.Quickly += other.Quickly
	s.Longest = max(s.Longest, other.Longest)
	s.Took += other.Took
	s.countOutcomes(other.Outcomes)
}

func (s *Served) countOutcomes(outcomes map[string]int) {
	if s.Outcomes == nil {
		s.Outcomes = map[string]int{}
	}
	for outcome, count := range outcomes {
		s.Outcomes[outcome] += count
	}
}

// Share returns the share of requests that were served; 1 if none was sent.
func (s Served) Share() float64 {
	if s.Sent == 0 {
		return 1
	}
	return float64(s.OK) / float64(s.Sent)
}

// String returns the counts in one line.
func (s Served) String() string {
	return fmt.Sprintf("%d of %d, %d within %s, longest %s %v", s.OK, s.Sent, s.Quickly, quickTime, s.Longest.Round(time.Millisecond), s.Outcomes)
}

// ordinaryCaller sends small requests over a connection of its own, one after the other. It repeats
// refused ones as the protocol allows.
type ordinaryCaller struct {
	process *process
	world   *world
	name    string
	client  *http.Client
	sent    int
	served  Served
}

const (
	// ordinaryDeadline is the deadline of a request with all its attempts.
	ordinaryDeadline  = 5 * time.Second
	ordinaryPause     = 20 * time.Millisecond
	ordinaryBodyBytes = 512
	minRetryPause     = 50 * time.Millisecond
)

func newOrdinaryCaller(p *process, index int) *ordinaryCaller {
	c := &ordinaryCaller{process: p, world: p.world, name: fmt.Sprintf("ordinary-%d", index)}
	c.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	c.served.Outcomes = map[string]int{}
	return c
}

// run sends requests until the context ends.
func (c *ordinaryCaller) run(ctx context.Context) Served {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil && !c.process.hasEnded() {
		c.sendOne(context.WithoutCancel(ctx))
		pauseFor(ctx, ordinaryPause)
	}
	return c.served
}

// send sends this many requests, until one of them is not served.
func (c *ordinaryCaller) send(ctx context.Context, count int) Served {
	defer c.client.CloseIdleConnections()
	for range count {
		if c.sendOne(ctx); c.served.OK < c.served.Sent {
			break
		}
	}
	return c.served
}

// sendOne sends one request, every second one to a route whose requests may be repeated after any
// failure.
func (c *ordinaryCaller) sendOne(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ordinaryDeadline)
	defer cancel()
	c.sent++
	path, repeatable := pathOrdinaryUnsafe, false
	if c.sent%2 == 0 {
		path, repeatable = pathOrdinarySafe, true
	}
	start := time.Now()
	for attempt := 0; ; attempt++ {
		status, retryAfter := c.attempt(ctx, path, fmt.Sprintf("%s-%d-%d", c.name, c.sent, attempt))
		c.served.Outcomes[outcomeName(status)]++
		if status == http.StatusOK {
			c.served.record(true, time.Since(start))
			return
		}
		if ctx.Err() != nil || c.process.hasEnded() || !repeatable && !promisesNotRun(status) {
			c.served.record(false, time.Since(start))
			return
		}
		pauseFor(ctx, max(retryAfter, minRetryPause))
	}
}

func outcomeName(status int) string {
	if status == 0 {
		return "no answer"
	}
	return strconv.Itoa(status)
}

// attempt sends a request and returns the status, or 0 without a complete answer, and the time to
// wait before another attempt.
func (c *ordinaryCaller) attempt(ctx context.Context, path, id string) (status int, retryAfter time.Duration) {
	body := strings.NewReader(strings.Repeat("x", ordinaryBodyBytes))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.process.listen.Callers+path, body)
	if err != nil {
		return 0, 0
	}
	request.Host = ordinaryHost
	request.Header.Set("Request-Id", id)
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	if promisesNotRun(response.StatusCode) {
		c.world.noteRefusal(id)
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
