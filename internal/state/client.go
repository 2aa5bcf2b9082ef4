package state

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/pause"
)

// Client is a Store for use by the rest of the daemon. It limits the rate of all calls and hedges
// them. If an alternative route to the store is given, it uses both routes.
// It tracks whether the store is available and whether it has space. While the store is down,
// one background probe checks whether the store answers again.
//
// A commit may be sent more than once, so callers make each commit idempotent through its keys
// and conditions. A Client is safe for concurrent use.
type Client struct {
	direct       *reconnectingStore
	alternative  Store // a second route to the same store, or nil
	directHealth routeHealth
	availability *Availability
	spaceTracker *SpaceTracker
	limiter      *Limiter
	batcher      commitBatcher
	metrics      *clientMetrics
	hedger       hedger
	probe        Range
	onFailure    func(Failure)
}

// Failure describes a call for whose error IsTransient is true.
type Failure struct {
	Op       string // "commit", "read" or "feed"
	Key      Key    // first key of the call
	Duration time.Duration
	Err      error
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Store Store
	// Alternative is a second route to the same store. It is nil if there is none.
	Alternative  Store
	Availability *Availability
	// SpaceTracker tracks whether the store has space. If it is nil, the client creates its
	// own.
	SpaceTracker *SpaceTracker
	// Limiter limits the rate of the calls. If Limiter is nil, the client creates one without
	// declared rates, which lowers its rate only after throttled calls.
	Limiter *Limiter
	// Probe is the range that the client reads to find out whether a store that is down answers
	// again.
	Probe Range
	// OnFailure, if not nil, is called for calls that were sent and ended with an error for
	// which IsTransient is true. A throttled call is reported only if it contained several
	// commits.
	OnFailure func(Failure)
	// DisableHedging disables further attempts of a call while its first attempt is unanswered.
	DisableHedging bool
}

// NewClient returns a client of the store in options.
func NewClient(options ClientOptions) *Client {
	client := &Client{
		direct:       newReconnectingStore(options.Store),
		alternative:  options.Alternative,
		availability: options.Availability,
		spaceTracker: options.SpaceTracker,
		limiter:      options.Limiter,
		metrics:      newClientMetrics(),
		probe:        options.Probe,
		onFailure:    options.OnFailure,
	}
	client.hedger.disabled = options.DisableHedging
	if client.spaceTracker == nil {
		client.spaceTracker = NewSpaceTracker(SpaceTrackerOptions{})
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
// ClassTurn is sent at once. While it fails with ErrFull, it is sent again each time the
// SpaceTracker lets it probe, until ctx ends. A commit of ClassReservation, ClassSettlement,
// ClassSweep or ClassFollow fails with ErrFull unless the SpaceTracker lets it probe. All other
// commits, and commits without puts, are sent.
func (c *Client) Commit(ctx context.Context, commit Commit) (Version, error) {
	version, err := c.commitRetryingWhenFull(ctx, commit)
	c.metrics.recordCall(commit.Class, err)
	return version, err
}

// commitRetryingWhenFull sends a commit that the SpaceTracker admits. It sends a commit of
// ClassTurn again while the store is full.
func (c *Client) commitRetryingWhenFull(ctx context.Context, commit Commit) (Version, error) {
	if ctx.Err() != nil {
		return 0, eris.Wrapf(ErrNotExecuted, "commit not sent: %v", ctx.Err())
	}
	for isRetry := false; ; isRetry = true {
		if err := c.spaceTracker.admit(ctx, commit, isRetry); err != nil {
			return 0, err
		}
		sent := c.spaceTracker.options.Now()
		version, err := c.commit(ctx, commit)
		c.spaceTracker.recordResult(commit, sent, err)
		if !errors.Is(err, ErrFull) || commit.Class != ClassTurn || ctx.Err() != nil {
			return version, err
		}
	}
}

// commit waits until the partition may be called, and then for the rate limit, and sends the
// commit.
func (c *Client) commit(ctx context.Context, commit Commit) (Version, error) {
	if err := c.availability.WaitBeforeCall(ctx, commit.firstKey().Partition); err != nil {
		return 0, err
	}
	return c.batcher.commit(ctx, commit)
}

// send sends the commit, which combines commitCount commits, in one hedged call.
func (c *Client) send(ctx context.Context, commit Commit, commitCount int) (Version, error) {
	start := time.Now()
	routes := c.orderRoutes(CallCommit)
	version, err := hedge(ctx, &c.hedger, c.newHedgeRules(CallCommit), func(ctx context.Context, attempt int) (Version, error) {
		route, report := routes.forAttempt(attempt)
		version, err := route.Commit(ctx, commit)
		report(ctx, err)
		return version, err
	})
	failure := Failure{Op: "commit", Key: commit.firstKey(), Duration: time.Since(start), Err: err}
	c.metrics.commitsPerCall.Observe(float64(commitCount))
	if commitCount > 1 && IsTransient(err) {
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

// newHedgeRules returns the rules for hedging one call of the kind, and adds the call to the retry
// budget.
func (c *Client) newHedgeRules(kind CallKind) hedgeRules {
	c.hedger.budget.recordCall()
	return hedgeRules{
		shouldRetryAtOnce: c.isDirectDegraded,
		takeRetry:         func() bool { return c.hedger.budget.take() && c.limiter.takeSpareSlot(kind) },
	}
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, selected Range) (Page, error) {
	page, err := c.read(ctx, selected)
	c.metrics.recordCall(selected.Class, err)
	return page, err
}

func (c *Client) read(ctx context.Context, selected Range) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, eris.Wrapf(ErrNotExecuted, "read not sent: %v", ctx.Err())
	}
	if err := c.availability.WaitBeforeCall(ctx, selected.Partition); err != nil {
		return Page{}, err
	}
	if err := c.waitForRate(ctx, CallRead, selected.Class); err != nil {
		return Page{}, err
	}
	start := time.Now()
	routes := c.orderRoutes(CallRead)
	page, err := hedge(ctx, &c.hedger, c.newHedgeRules(CallRead), func(ctx context.Context, attempt int) (Page, error) {
		route, report := routes.forAttempt(attempt)
		page, err := route.Read(ctx, selected)
		report(ctx, err)
		return page, err
	})
	key := Key{Table: selected.Table, Partition: selected.Partition, Name: selected.From}
	c.recordOutcome(ctx, Failure{Op: "read", Key: key, Duration: time.Since(start), Err: err})
	return page, err
}

// Direct returns the direct route to the store, for calls that are neither limited nor hedged.
func (c *Client) Direct() Store { return c.direct }

// Available reports whether the store is considered available.
func (c *Client) Available() bool { return c.availability.Available() }

// HealthyFirst returns the partitions in the same order, except that those which failed and
// have not answered since are moved to the end.
func (c *Client) HealthyFirst(partitions []string) []string {
	return c.availability.HealthyFirst(partitions)
}

// Retry calls the function until ctx ends or IsTransient is false for its error, and returns
// the last error. Between the calls Retry backs off exponentially. While the store is down,
// Retry waits until the store is available again.
func (c *Client) Retry(ctx context.Context, call func() error) error {
	schedule := pause.NewBackoff(initialRetryDelay, maxRetryDelay)
	for {
		err := call()
		if !IsTransient(err) || ctx.Err() != nil || !c.waitAfter(ctx, schedule) {
			return err
		}
	}
}

// waitAfter waits before the next call of Retry's function. It returns false if ctx ended
// first.
func (c *Client) waitAfter(ctx context.Context, schedule *backoff.ExponentialBackOff) bool {
	if !c.availability.Available() {
		return c.availability.Wait(ctx) == nil
	}
	return pause.Sleep(ctx, schedule.NextBackOff())
}

// recordOutcome updates the availability after a call, and starts the probe if the store went
// down.
func (c *Client) recordOutcome(ctx context.Context, failure Failure) {
	if errors.Is(failure.Err, ErrThrottled) {
		return // a throttled call says nothing about the partition
	}
	if !IsTransient(failure.Err) {
		c.availability.RecordSuccess(failure.Key.Partition)
		return
	}
	c.onFailure(failure)
	if ctx.Err() == nil && c.availability.RecordFailure(failure.Key.Partition) {
		go c.probeUntilAnswered()
	}
}

// probeUntilAnswered reads the probe range repeatedly until the store is considered available.
func (c *Client) probeUntilAnswered() {
	routes := c.orderRoutes(CallRead)
	for attempt := 0; !c.availability.Available(); attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		route, report := routes.forAttempt(attempt)
		_, err := route.Read(ctx, c.probe)
		report(ctx, err)
		cancel()
		if !IsTransient(err) {
			c.availability.RecordSuccess(c.probe.Partition)
			return
		}
		pause.Sleep(context.Background(), probeInterval)
	}
}

// SpaceTracker returns the tracker of the store's free space.
func (c *Client) SpaceTracker() *SpaceTracker { return c.spaceTracker }

// IsTransient reports whether err is ErrNotExecuted, which includes ErrThrottled, or
// ErrUnknownOutcome. Such a call may be repeated, since calls are idempotent. IsTransient
// returns false for nil and for all other errors.
func IsTransient(err error) bool {
	return errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrUnknownOutcome)
}
