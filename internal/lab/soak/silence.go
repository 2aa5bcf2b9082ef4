package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
)

// Parameters of the silences, which overlap the faults.
const (
	maxTimeBetweenSilences = 12 * time.Second
	maxSilencesInSeries    = 3
	maxGapBetweenSilences  = 3 * time.Second
)

// runSilences lets open connections go silent until ctx is done. None of the silences falls into a calm
// round.
func (r *soakRun) runSilences(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenSilences))))
		r.disruptions.RLock()
		if ctx.Err() == nil {
			r.silenceInSeries(ctx, random)
		}
		r.disruptions.RUnlock()
	}
}

// silenceInSeries silences all open connections of gateways to the store, to each other and to engines, a
// few times. New connections work. Meanwhile the configuration changes.
func (r *soakRun) silenceInSeries(ctx context.Context, random *rand.Rand) {
	silences := 1 + random.IntN(maxSilencesInSeries)
	r.logEvent("series of silences")
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	for range silences {
		for _, link := range r.internalLinks() {
			link.SilenceConnections()
		}
		r.store.configure(r.evidence)
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxGapBetweenSilences))))
	}
}

// internalLinks returns the links of gateways to the store, to each other and to engines.
func (r *soakRun) internalLinks() (links []*faultproxy.Link) {
	for _, each := range r.gateways {
		links = append(links, each.toStore, each.fromPeers)
	}
	for _, each := range r.engines.instances() {
		links = append(links, each.link)
	}
	return links
}
