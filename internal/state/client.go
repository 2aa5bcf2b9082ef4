package state

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/pause"
)

// Client is a Store for use by the rest of the daemon. It limits the rate of all calls, and
// hedges commits and reads. If an alternative route to the store is given, it uses both routes.
// It tracks whether the store is available and whether it has space. While the store is down,
// one background probe checks whether the store answers again.
//
// A commit may be sent more than once, so callers make each commit idempotent through its keys
// and conditions. A Client is safe for concurrent use.
type Client struct {
	direct       Store
	alternative  Store // a second route to the same store, or nil
	directHealth routeHealth
	availability *Availability
	room         *Room
	limiter      *Limiter
	batcher      commitBatcher
	metrics      *clientMetrics
	hedger       hedger
	probe        Range
	onFailure    func(Failure)
}

// Failure describes a call for whose error NoVerdict is true.
type Failure struct {
	Call string // "commit", "read" or "feed"
	Key  Key    // first key of the call
	Took time.Duration
	Err  error
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Store Store
	// Alternative is a second route to the same store. It is nil if there is none.
	Alternative  Store
	Availability *Availability
	// Room tracks whether the store has space. If Room is nil, the client creates its own.
	Room *Room
	// Limiter limits the rate of the calls. If Limiter is nil, the client creates one without
	// declared rates, which lowers its rate only after throttled calls.
	Limiter *Limiter
	// Probe is the range that the client reads to find out whether a store that is down answers
	// again.
	Probe Range
	// OnFailure, if not nil, is called for calls that were sent and ended with an error for
	// which NoVerdict is true. A throttled call is reported only if it contained several
	// commits.
	OnFailure func(Failure)
	// NotHedged disables further attempts of a call while its first attempt is unanswered.
	NotHedged bool
}

// NewClient returns a client of the store in options.
func NewClient(options ClientOptions) *Client {
	client := &Client{
		direct:       options.Store,
		alternative:  options.Alternative,
		availability: options.Availability,
		room:         options.Room,
		limiter:      options.Limiter,
		metrics:      newClientMetrics(),
		probe:        options.Probe,
		onFailure:    options.OnFailure,
	}
	client.hedger.disabled = options.NotHedged
	if client.room == nil {
		client.room = NewRoom(RoomOptions{})
	}
	if client.limiter == nil {
		client.limiter = NewLimiter(LimiterOptions{})
	}
	client.batcher = commitBatcher{
		slots: rateSlots{
			free: func() bool { return client.limiter.takeSpareSlot(CallCommit) },
			wait: func(ctx context.Context, class Class) error { return client.waitForRate(ctx, CallCommit, class) },
		},
		send: client.send, now: time.Now,
	}
	if client.availability != nil {
		client.availability.onRestored = client.limiter.restart
	}
	if client.onFailure == nil {
		client.onFailure = func(Failure) {}
	}
	return client
}

const (
	initialRetryDelay = 30 * time.Millisecond
	maxRetryDelay     = 250 * time.Millisecond
	probeInterval     = 100 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
)

// Commit implements Store. While the store is full, it handles commits by class. A commit of
// ClassTurn is sent at once. While it fails with ErrFull, it is sent again each time Room lets
// it probe, until ctx ends. A commit of ClassReservation, ClassSettlement, ClassSweep or
// ClassFollow fails with ErrFull unless Room lets it probe. All other commits, and commits
// without puts, are sent.
func (c *Client) Commit(ctx context.Context, commit Commit) (Version, error) {
	version, err := c.commitRetryingWhenFull(ctx, commit)
	c.metrics.recordCall(commit.Class, err)
	return version, err
}

// commitRetryingWhenFull sends a commit that Room admits. It sends a commit of ClassTurn again
// while the store is full.
func (c *Client) commitRetryingWhenFull(ctx context.Context, commit Commit) (Version, error) {
	if ctx.Err() != nil {
		return 0, eris.Wrapf(ErrNotDone, "commit not sent: %v", ctx.Err())
	}
	for isRetry := false; ; isRetry = true {
		if err := c.room.admit(ctx, commit, isRetry); err != nil {
			return 0, err
		}
		sent := c.room.options.Now()
		version, err := c.commit(ctx, commit)
		c.room.recordResult(commit, sent, err)
		if !errors.Is(err, ErrFull) || commit.Class != ClassTurn || ctx.Err() != nil {
			return version, err
		}
	}
}

// commit waits until the partition may be called, and then for the rate limit, and sends the
// commit.
func (c *Client) commit(ctx context.Context, commit Commit) (Version, error) {
	if err := c.availability.Enter(ctx, commit.firstKey().Partition); err != nil {
		return 0, err
	}
	return c.batcher.commit(ctx, commit)
}

// send sends the commit, which combines commitCount commits, in one hedged call.
func (c *Client) send(ctx context.Context, commit Commit, commitCount int) (Version, error) {
	start := time.Now()
	version, err := hedge(ctx, &c.hedger, c.retryConditionsFor(CallCommit), func(ctx context.Context, attempt int) (Version, error) {
		route, report := c.chooseRoute(attempt, CallCommit)
		version, err := route.Commit(ctx, commit)
		report(ctx, err)
		return version, err
	})
	failure := Failure{Call: "commit", Key: commit.firstKey(), Took: time.Since(start), Err: err}
	c.metrics.commitsPerCall.Observe(float64(commitCount))
	if commitCount > 1 && NoVerdict(err) {
		c.onFailure(failure) // any of the partitions may have failed, so none is recorded as failed
		return version, err
	}
	c.recordOutcome(ctx, failure)
	return version, err
}

// waitForRate waits until the rate limit allows a call of the class, and records the wait.
func (c *Client) waitForRate(ctx context.Context, kind CallKind, class Class) error {
	start := time.Now()
	err := c.limiter.waitForSlot(ctx, kind, class)
	c.metrics.recordWait(class, time.Since(start))
	return err
}

// retryConditionsFor returns the conditions for hedging a call of the kind.
func (c *Client) retryConditionsFor(kind CallKind) retryConditions {
	return retryConditions{shouldRetryAtOnce: c.isDirectDegraded, takeSpareSlot: func() bool { return c.limiter.takeSpareSlot(kind) }}
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, selected Range) (Page, error) {
	page, err := c.read(ctx, selected)
	c.metrics.recordCall(selected.Class, err)
	return page, err
}

func (c *Client) read(ctx context.Context, selected Range) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, eris.Wrapf(ErrNotDone, "read not sent: %v", ctx.Err())
	}
	if err := c.availability.Enter(ctx, selected.Partition); err != nil {
		return Page{}, err
	}
	if err := c.waitForRate(ctx, CallRead, selected.Class); err != nil {
		return Page{}, err
	}
	start := time.Now()
	page, err := hedge(ctx, &c.hedger, c.retryConditionsFor(CallRead), func(ctx context.Context, attempt int) (Page, error) {
		route, report := c.chooseRoute(attempt, CallRead)
		page, err := route.Read(ctx, selected)
		report(ctx, err)
		return page, err
	})
	key := Key{Table: selected.Table, Partition: selected.Partition, Name: selected.From}
	c.recordOutcome(ctx, Failure{Call: "read", Key: key, Took: time.Since(start), Err: err})
	return page, err
}

// Feed implements Store. It is not hedged, since it normally waits for changes.
func (c *Client) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Change, error) {
	if err := c.waitForRate(ctx, CallFeed, ClassFollow); err != nil {
		c.metrics.recordCall(ClassFollow, err)
		return Change{}, err
	}
	start := time.Now()
	route, report := c.chooseRoute(0, CallFeed)
	change, err := route.Feed(ctx, table, after, wait)
	report(ctx, err)
	c.metrics.recordCall(ClassFollow, err)
	c.recordOutcome(ctx, Failure{Call: "feed", Key: Key{Table: table}, Took: time.Since(start), Err: err})
	return change, err
}

// Available reports whether the store is considered available.
func (c *Client) Available() bool { return c.availability.Available() }

// Prefer returns the partitions in the same order, except that those which failed and have not
// answered since are moved to the end.
func (c *Client) Prefer(partitions []string) []string { return c.availability.Prefer(partitions) }

// Repeat calls the function until ctx ends or NoVerdict is false for its error, and returns the
// last error. Between the calls Repeat backs off exponentially. While the store is down, Repeat
// waits until the store is available again.
func (c *Client) Repeat(ctx context.Context, call func() error) error {
	schedule := pause.Growing(initialRetryDelay, maxRetryDelay)
	for {
		err := call()
		if !NoVerdict(err) || ctx.Err() != nil || !c.waitAfter(ctx, schedule) {
			return err
		}
	}
}

// waitAfter waits before the next call of Repeat's function. It returns false if ctx ended
// first.
func (c *Client) waitAfter(ctx context.Context, schedule *backoff.ExponentialBackOff) bool {
	if !c.availability.Available() {
		return c.availability.Wait(ctx) == nil
	}
	return pause.For(ctx, schedule.NextBackOff())
}

// recordOutcome updates the availability after a call, and starts the probe if the store went
// down.
func (c *Client) recordOutcome(ctx context.Context, failure Failure) {
	if errors.Is(failure.Err, ErrThrottled) {
		return // a throttled call says nothing about the partition
	}
	if !NoVerdict(failure.Err) {
		c.availability.Succeeded(failure.Key.Partition)
		return
	}
	c.onFailure(failure)
	if ctx.Err() == nil && c.availability.Failed(failure.Key.Partition) {
		go c.probeUntilAnswered()
	}
}

// probeUntilAnswered reads the probe range repeatedly until the store is considered available.
func (c *Client) probeUntilAnswered() {
	for attempt := 0; !c.availability.Available(); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		route, report := c.chooseRoute(attempt, CallRead)
		_, err := route.Read(ctx, c.probe)
		report(ctx, err)
		cancel()
		if !NoVerdict(err) {
			c.availability.Succeeded(c.probe.Partition)
			return
		}
		pause.For(context.Background(), probeInterval)
	}
}

// Room returns the tracker of the store's free space.
func (c *Client) Room() *Room { return c.room }

// NoVerdict reports whether err is ErrNotDone, which includes ErrThrottled, or ErrUnknown. Such
// a call may be repeated, since calls are idempotent. NoVerdict returns false for nil and for
// all other errors.
func NoVerdict(err error) bool {
	return errors.Is(err, ErrNotDone) || errors.Is(err, ErrUnknown)
}
