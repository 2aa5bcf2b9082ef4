// Package modelengine simulates a model engine over HTTP: continuous batching
// with modelled step times, a prefix cache of limited size, priorities, streams
// that can be resumed and cancelled, and fenced orders. An answer is a
// deterministic text that depends on the whole prompt, so that a lost or mixed
// up history changes it.
package modelengine

import "time"

// Speed is the modelled speed of a hardware generation.
type Speed struct {
	PrefillPerSec float64 // prompt tokens per second
	DecodePerSec  float64 // generated tokens per second of a request that is alone in the batch
	MaxRunning    int     // maximum number of requests in the batch
}

// The hardware generations.
const (
	GenerationOld = "old"
	GenerationNew = "new"
)

// speeds maps a hardware generation to its speed.
var speeds = map[string]Speed{
	GenerationOld: {PrefillPerSec: 3000, DecodePerSec: 22, MaxRunning: 12},
	GenerationNew: {PrefillPerSec: 10000, DecodePerSec: 45, MaxRunning: 32},
}

const (
	batchSlowdown        = 0.015 // each further decoding request lengthens a step by this fraction of a lone request's decode time
	prefillChunkTokens   = 512   // maximum number of prompt tokens per step
	transferTokensPerSec = 40000 // tokens of KV cache imported per second
	defaultCacheTokens   = 60000
	maxEvents            = 4096 // maximum number of stored cache events; above it the older half is dropped
	defaultLoadTime      = 8 * time.Second
	defaultReportLag     = 500 * time.Millisecond
)

// Options configure an engine. LoadTime and the durations of batch steps are
// modelled times; TimeScale converts them to real time.
type Options struct {
	Name              string
	Generation        string // hardware generation; GenerationNew by default
	Model             string
	Version           string
	Adapters          []string
	Role              string        // "serve" by default
	TimeScale         float64       // real time divided by modelled time, so 0.02 is 50 times faster; 1 by default
	CacheTokens       int64         // capacity of the prefix cache in tokens; 60000 by default
	LoadTime          time.Duration // modelled time that a load order takes; 8 s by default
	ReportLag         time.Duration // real time for which the same state report is repeated; 500 ms by default
	EventLag          time.Duration // real time after which a cache event is delivered
	DropEventInterval uint64        // if not 0, each cache event whose sequence number is a multiple of it is dropped
}

func (o Options) withDefaults() Options {
	if o.Generation == "" {
		o.Generation = GenerationNew
	}
	if o.Role == "" {
		o.Role = roleServe
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	if o.CacheTokens == 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.LoadTime == 0 {
		o.LoadTime = defaultLoadTime
	}
	if o.ReportLag == 0 {
		o.ReportLag = defaultReportLag
	}
	return o
}
