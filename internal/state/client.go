package state

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/pause"
)

// Client is a store as the product uses it: each call is hedged, over two ways
// to the store if there are two, what its end tells of the store is noted, and
// while the store is down one probe asks whether it answers again. A commit may be sent more than once: callers keep
// each commit idempotent by its keys and conditions.
type Client struct {
	direct       Store
	alternative  Store // another way; nil: none
	directHealth wayHealth
	availability *Availability
	room         *Room
	limiter      *Limiter
	groups       groups
	metrics      *clientMetrics
	hedger       hedger
	probe        Range
	onFailure    func(Failure)
}

// Failure is a call that got no verdict.
type Failure struct {
	Call string // commit, read or feed
	Key  Key    // the first of the call
	Took time.Duration
	Err  error
}

// ClientOptions are the parameters of a Client.
type ClientOptions struct {
	Store Store
	// Alternative is another way to the same store; nil: none.
	Alternative  Store
	Availability *Availability
	// Room is what is believed of the store's room; nil: the client's own.
	Room *Room
	// Limiter keeps the calls under the store's rate; nil: one that goes by refusals alone.
	Limiter *Limiter
	// Probe is read while the store is down.
	Probe Range
	// OnFailure, if given, hears each call without a verdict.
	OnFailure func(Failure)
	// NotHedged makes one try of each call.
	NotHedged bool
}

// NewClient wraps a store.
func NewClient(options ClientOptions) *Client {
	made := &Client{
		direct:       options.Store,
		alternative:  options.Alternative,
		availability: options.Availability,
		room:         options.Room,
		limiter:      options.Limiter,
		metrics:      newClientMetrics(),
		probe:        options.Probe,
		onFailure:    options.OnFailure,
	}
	made.hedger.off = options.NotHedged
	if made.room == nil {
		made.room = NewRoom(RoomOptions{})
	}
	if made.limiter == nil {
		made.limiter = NewLimiter(LimiterOptions{})
	}
	made.groups = groups{
		slots: slots{
			free:  func() bool { return made.limiter.spare(CallCommit) },
			enter: func(ctx context.Context, class Class) error { return made.enter(ctx, CallCommit, class) },
		},
		send: made.send, now: time.Now,
	}
	if made.availability != nil {
		made.availability.onRestored = made.limiter.restart
	}
	if made.onFailure == nil {
		made.onFailure = func(Failure) {}
	}
	return made
}

const (
	firstRetry   = 30 * time.Millisecond
	longestRetry = 250 * time.Millisecond
	probePause   = 100 * time.Millisecond
	probeWait    = 300 * time.Millisecond
)

// Commit implements Store. While the store is full, a commit of ClassTurn is sent at least
// once, and again as room is looked for until its context ends. Reservations, settlements,
// sweeps and what follows a table are refused unless it is their turn to probe (Room.admit);
// the rest is sent.
func (c *Client) Commit(ctx context.Context, commit Commit) (Version, error) {
	version, err := c.commitWhenRoom(ctx, commit)
	c.metrics.ended(commit.Class, err)
	return version, err
}

func (c *Client) commitWhenRoom(ctx context.Context, commit Commit) (Version, error) {
	if ctx.Err() != nil {
		return 0, eris.Wrapf(ErrNotDone, "commit not begun: %v", ctx.Err())
	}
	for tried := false; ; tried = true {
		if err := c.room.admit(ctx, commit, tried); err != nil {
			return 0, err
		}
		sent := c.room.options.Now()
		version, err := c.commit(ctx, commit)
		c.room.note(commit, sent, err)
		if !errors.Is(err, ErrFull) || commit.Class != ClassTurn || ctx.Err() != nil {
			return version, err
		}
	}
}

// commit sends a commit that there may be room for.
func (c *Client) commit(ctx context.Context, commit Commit) (Version, error) {
	if err := c.availability.Enter(ctx, commit.firstKey().Partition); err != nil {
		return 0, err
	}
	return c.groups.commit(ctx, commit)
}

// send makes the call of so many commits.
func (c *Client) send(ctx context.Context, commit Commit, together int) (Version, error) {
	start := time.Now()
	version, err := hedge(ctx, &c.hedger, c.further(CallCommit), func(ctx context.Context, try int) (Version, error) {
		way, done := c.way(try, CallCommit)
		version, err := way.Commit(ctx, commit)
		done(ctx, err)
		return version, err
	})
	ended := Failure{Call: "commit", Key: commit.firstKey(), Took: time.Since(start), Err: err}
	c.metrics.together.Observe(float64(together))
	if together > 1 && NoVerdict(err) {
		c.onFailure(ended) // any of its partitions may be the one that does not answer
		return version, err
	}
	c.note(ctx, ended)
	return version, err
}

// enter waits for a slot within the store's rate.
func (c *Client) enter(ctx context.Context, kind CallKind, class Class) error {
	start := time.Now()
	err := c.limiter.enter(ctx, kind, class)
	c.metrics.waited(class, time.Since(start))
	return err
}

// further tells when a call may be tried again beside its first try.
func (c *Client) further(kind CallKind) furtherTries {
	return furtherTries{atOnce: c.directDoubtful, spare: func() bool { return c.limiter.spare(kind) }}
}

// Read implements Store.
func (c *Client) Read(ctx context.Context, selected Range) (Page, error) {
	page, err := c.read(ctx, selected)
	c.metrics.ended(selected.Class, err)
	return page, err
}

func (c *Client) read(ctx context.Context, selected Range) (Page, error) {
	if ctx.Err() != nil {
		return Page{}, eris.Wrapf(ErrNotDone, "read not begun: %v", ctx.Err())
	}
	if err := c.availability.Enter(ctx, selected.Partition); err != nil {
		return Page{}, err
	}
	if err := c.enter(ctx, CallRead, selected.Class); err != nil {
		return Page{}, err
	}
	start := time.Now()
	page, err := hedge(ctx, &c.hedger, c.further(CallRead), func(ctx context.Context, try int) (Page, error) {
		way, done := c.way(try, CallRead)
		page, err := way.Read(ctx, selected)
		done(ctx, err)
		return page, err
	})
	key := Key{Table: selected.Table, Partition: selected.Partition, Name: selected.From}
	c.note(ctx, Failure{Call: "read", Key: key, Took: time.Since(start), Err: err})
	return page, err
}

// Feed implements Store; it is not hedged, since it waits for changes.
func (c *Client) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Change, error) {
	if err := c.enter(ctx, CallFeed, ClassFollow); err != nil {
		c.metrics.ended(ClassFollow, err)
		return Change{}, err
	}
	start := time.Now()
	way, done := c.way(0, CallFeed)
	change, err := way.Feed(ctx, table, after, wait)
	done(ctx, err)
	c.metrics.ended(ClassFollow, err)
	c.note(ctx, Failure{Call: "feed", Key: Key{Table: table}, Took: time.Since(start), Err: err})
	return change, err
}

// Available tells whether the store is believed to answer.
func (c *Client) Available() bool { return c.availability.Available() }

// Prefer orders partitions: those that failed a moment ago come last.
func (c *Client) Prefer(partitions []string) []string { return c.availability.Prefer(partitions) }

// Repeat calls until the store gives a verdict or the context ends. While the
// store is down it waits until somebody's call was answered.
func (c *Client) Repeat(ctx context.Context, call func() error) error {
	schedule := pause.Growing(firstRetry, longestRetry)
	for {
		err := call()
		if !NoVerdict(err) || ctx.Err() != nil || !c.pauseAfter(ctx, schedule) {
			return err
		}
	}
}

func (c *Client) pauseAfter(ctx context.Context, schedule *backoff.ExponentialBackOff) bool {
	if !c.availability.Available() {
		return c.availability.Wait(ctx) == nil
	}
	return pause.For(ctx, schedule.NextBackOff())
}

func (c *Client) note(ctx context.Context, about Failure) {
	if errors.Is(about.Err, ErrThrottled) {
		return // the store is there, and says nothing of the partition
	}
	if !NoVerdict(about.Err) {
		c.availability.Succeeded(about.Key.Partition)
		return
	}
	c.onFailure(about)
	if ctx.Err() == nil && c.availability.Failed(about.Key.Partition) {
		go c.probeUntilAnswered()
	}
}

// probeUntilAnswered asks until the store is believed to answer.
func (c *Client) probeUntilAnswered() {
	for try := 0; !c.availability.Available(); try++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeWait)
		way, done := c.way(try, CallRead)
		_, err := way.Read(ctx, c.probe)
		done(ctx, err)
		cancel()
		if !NoVerdict(err) {
			c.availability.Succeeded(c.probe.Partition)
			return
		}
		pause.For(context.Background(), probePause)
	}
}

// Room is what is believed of the store's room.
func (c *Client) Room() *Room { return c.room }

// NoVerdict tells whether a call ended without the store's verdict, so that
// it may be repeated.
func NoVerdict(err error) bool {
	return errors.Is(err, ErrNotDone) || errors.Is(err, ErrUnknown)
}
