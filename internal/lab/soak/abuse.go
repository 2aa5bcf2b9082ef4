package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/abuse"
)

// Parameters of the crowds of clients that do not behave, which overlap the faults.
const (
	maxTimeBetweenCrowds = 4 * time.Second
	maxCrowdDuration     = 3 * time.Second
	maxCrowdKinds        = 3
	minCrowdClients      = 10
	maxCrowdClients      = 150
	pathWithoutRoute     = "/none/"
)

// runCrowds plays crowds of clients that do not behave until ctx is done. None falls into a calm round.
func (r *soakRun) runCrowds(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenCrowds))))
		r.disruptions.RLock()
		if ctx.Err() == nil {
			r.playCrowds(ctx, random)
		}
		r.disruptions.RUnlock()
	}
}

// playCrowds plays one to maxCrowdKinds kinds of clients at endpoints of gateways, all at the same time. The
// clients use their connections until the gateway is gone.
func (r *soakRun) playCrowds(ctx context.Context, random *rand.Rand) {
	defer r.calm.beginFault()()
	ctx, stop := context.WithTimeout(ctx, time.Duration(random.Int64N(int64(maxCrowdDuration))))
	defer stop()
	var playing sync.WaitGroup
	for range 1 + random.IntN(maxCrowdKinds) {
		client, at := r.drawCrowd(random)
		count := minCrowdClients + random.IntN(maxCrowdClients-minCrowdClients)
		r.logEvent("crowd: " + client.Name + " at " + at.Address + at.Path)
		playing.Go(func() { client.Play(ctx, at, count, "crowd", nil) })
	}
	playing.Wait()
}

// drawCrowd draws a kind of client and an endpoint. At a route only such kinds are played whose requests never
// run, since the checks expect that engines run what callers have sent.
func (r *soakRun) drawCrowd(random *rand.Rand) (abuse.Client, abuse.Target) {
	kinds := abuse.Clients()
	client := kinds[random.IntN(len(kinds))]
	chosen := r.gateways[random.IntN(len(r.gateways))]
	targets := []abuse.Target{
		{Address: chosen.settings.Listen.Callers, Path: pathWithoutRoute},
		{Address: chosen.settings.Listen.Ready, Path: "/api/ready"},
		{Address: chosen.settings.Listen.Metrics, Path: "/metrics"},
		{Address: chosen.settings.Listen.Peers, Path: "/"},
	}
	if client.IsIncomplete {
		targets = append(targets, abuse.Target{Address: chosen.settings.Listen.Callers, Path: pathUnsafe})
	}
	at := targets[random.IntN(len(targets))]
	at.Host = host
	return client, at
}
