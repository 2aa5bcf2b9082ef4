package state

import (
	"context"
	"time"
)

// Feed implements Store. While the store may still wait for a change, a silent route can't be told
// from an unchanged table. If there is no answer soon after the wait, Feed therefore asks again,
// without a wait, over the other route. So the table is followed as long as one of the two routes
// works, at most the wait and maxHedgeDelay late.
//
// Further attempts don't draw on the retry budget, which an overload of other calls may use up.
func (c *Client) Feed(ctx context.Context, table string, after Version, wait time.Duration) (FeedResult, error) {
	if err := c.waitForRate(ctx, CallFeed, ClassFollow); err != nil {
		c.metrics.recordCall(ClassFollow, err)
		return FeedResult{}, err
	}
	start := time.Now()
	routes := c.orderRoutes(CallFeed)
	rules := hedgeRules{
		quietTime:         wait,
		shouldRetryAtOnce: func() bool { return false }, // the watch retries a failed feed after a delay
		takeRetry:         func() bool { return true },
	}
	result, err := hedge(ctx, &c.hedger, rules, func(ctx context.Context, attempt int) (FeedResult, error) {
		if attempt == 0 {
			return c.sendFeed(ctx, routes, attempt, table, after, wait)
		}
		if err := c.waitForRate(ctx, CallFeed, ClassFollow); err != nil {
			return FeedResult{}, err
		}
		return c.sendFeed(ctx, routes, attempt, table, after, 0)
	})
	c.metrics.recordCall(ClassFollow, err)
	c.recordOutcome(ctx, Failure{Op: "feed", Key: Key{Table: table}, Duration: time.Since(start), Err: err})
	return result, err
}

// sendFeed sends one attempt of a feed.
func (c *Client) sendFeed(ctx context.Context, routes routeOrder, attempt int, table string, after Version, wait time.Duration) (FeedResult, error) {
	route, report := routes.forAttempt(attempt)
	result, err := route.Feed(ctx, table, after, wait)
	report(ctx, err)
	return result, err
}
