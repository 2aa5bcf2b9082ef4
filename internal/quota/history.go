package quota

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Keys under which daemons tell, beside tenants, how many they are and how much of the
// window they did not see, in parts of seenUnit. No tenant's name begins with a zero byte.
var (
	daemonsKey = load.KeyOf("\x00daemons")
	unseenKey  = load.KeyOf("\x00unseen")
)

// seenUnit is a whole window that a daemon did not see.
const seenUnit = 1000

// unseenHere is the part of the window before this process's start.
func (l *Limiter) unseenHere(now time.Time) float64 {
	return max(1-float64(now.Sub(l.started))/float64(l.settings.Window), 0)
}

// tellHistory adds this daemon's part to what it tells.
func (l *Limiter) tellHistory(counts load.Counts, now time.Time) {
	counts[daemonsKey] = 1
	if unseen := int(seenUnit * l.unseenHere(now)); unseen > 0 {
		counts[unseenKey] = unseen
	}
}

// takeHistory takes the daemons' parts out of what was told: the part of the fleet's
// window that nobody saw.
func takeHistory(all, own load.Counts) float64 {
	daemons, unseen := all[daemonsKey], all[unseenKey]
	for _, key := range []load.Key{daemonsKey, unseenKey} {
		delete(all, key)
		delete(own, key)
	}
	if daemons <= 0 {
		return 0
	}
	return min(float64(unseen)/float64(seenUnit*daemons), 1)
}

// unseenOf is what counts as taken of a quota by processes that are gone: their part of
// its steady rate, less with each moment that passes. The lock is held.
func (l *Limiter) unseenOf(quota tenant.Quota, now time.Time) int {
	part := l.unseenHere(now) // until the others are heard: as if all were new
	if !l.heard.IsZero() {
		part = l.unseen - float64(now.Sub(l.heard))/float64(l.settings.Window)
	}
	return int(max(part, 0) * quota.PerSecond * l.settings.Window.Seconds())
}
