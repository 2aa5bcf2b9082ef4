package engine

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// Options of a Service. Durations and counts that are zero take the default
// given with each field.
type Options struct {
	Self          identity.Process
	Configuration configuration.Source
	Directory     members.Directory
	Caller        peer.Caller
	Registrar     peer.Registrar
	Machines      platform.Machines // nil: no machine list
	Weights       platform.Weights  // nil: loads are not limited by size
	// EndedOrUnknown returns those of the programs that ended or that
	// nobody knows; an error says that it can't be told now. nil: nothing
	// is reconciled.
	EndedOrUnknown func(ctx context.Context, programs []identity.Program) ([]identity.Program, error)
	HTTP           *http.Client // nil: one of its own
	Logger         *zap.Logger
	Registerer     prometheus.Registerer // nil: metrics are kept but not exposed
	Settings       Settings
}

// Settings are the times and bounds of supervision.
type Settings struct {
	PollInterval         time.Duration // between reads of an engine's state, jittered; 1 s
	PollTimeout          time.Duration // of one call to an engine's administration; 2 s
	PollConcurrency      int           // calls to engines at once; 32
	SpreadInterval       time.Duration // between digests to the region's daemons; 1 s
	SpreadBytesPerSecond float64       // to all daemons; digests wait and merge when there is more; 8192
	RefreshInterval      time.Duration // after which an unchanged digest is spread again; 3 s
	DigestTooOld         time.Duration // age from which an engine gets no new work; 8 s
	RebuildInterval      time.Duration // least time between two snapshots; 50 ms
	MachineInterval      time.Duration // between reads of the machine list, jittered; 2 s
	ReconcileInterval    time.Duration // between lists of held memory, for each engine; 15 s
	ReconcileBatch       int           // programs asked about at once; 256
	ReleaseQueue         int           // programs that wait for a release, for each engine; 4096
	EjectAfterFailures   int           // failures in a row that eject an engine; 5
	EjectErrorRate       float64       // share of failures that ejects; 0.5
	EjectSlowFactor      float64       // slower than so many times its kind's median; 4
	EjectFor             time.Duration // first time of ejection, doubled each time, jittered; 5 s
	EjectAtMost          time.Duration // longest time of ejection; 60 s
	EjectShare           float64       // of a model's engines at most are ejected; 0.5
	SlowStart            time.Duration // in which a returned engine gets up to its whole batch; 10 s
	ParallelLoads        int           // engines of a pool without service that load at once; 4
	KeepPrefix           time.Duration // after its last use, a shared prefix counts as held; 2 min
	DrainBound           time.Duration // wait for running requests before an order that stops service; 60 s
	WeightBytesPerSecond float64       // of the weight store for all daemons of the region; 0: not limited
}

const (
	defaultPollInterval       = time.Second
	defaultPollTimeout        = 2 * time.Second
	defaultPollConcurrency    = 32
	defaultSpreadInterval     = time.Second
	defaultSpreadBytes        = 8192.0
	defaultRefreshInterval    = 3 * time.Second
	defaultDigestTooOld       = 8 * time.Second
	defaultRebuildInterval    = 50 * time.Millisecond
	defaultMachineInterval    = 2 * time.Second
	defaultReconcileInterval  = 15 * time.Second
	defaultReconcileBatch     = 256
	defaultReleaseQueue       = 4096
	defaultEjectAfterFailures = 5
	defaultEjectErrorRate     = 0.5
	defaultEjectSlowFactor    = 4.0
	defaultEjectFor           = 5 * time.Second
	defaultEjectAtMost        = time.Minute
	defaultEjectShare         = 0.5
	defaultSlowStart          = 10 * time.Second
	defaultParallelLoads      = 4
	defaultKeepPrefix         = 2 * time.Minute
	defaultDrainBound         = time.Minute
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.PollInterval, defaultPollInterval)
	setDefault(&s.PollTimeout, defaultPollTimeout)
	setDefault(&s.PollConcurrency, defaultPollConcurrency)
	setDefault(&s.SpreadInterval, defaultSpreadInterval)
	setDefault(&s.SpreadBytesPerSecond, defaultSpreadBytes)
	setDefault(&s.RefreshInterval, defaultRefreshInterval)
	setDefault(&s.DigestTooOld, defaultDigestTooOld)
	setDefault(&s.RebuildInterval, defaultRebuildInterval)
	setDefault(&s.MachineInterval, defaultMachineInterval)
	setDefault(&s.ReconcileInterval, defaultReconcileInterval)
	setDefault(&s.ReconcileBatch, defaultReconcileBatch)
	setDefault(&s.ReleaseQueue, defaultReleaseQueue)
	setDefault(&s.EjectAfterFailures, defaultEjectAfterFailures)
	setDefault(&s.EjectErrorRate, defaultEjectErrorRate)
	setDefault(&s.EjectSlowFactor, defaultEjectSlowFactor)
	setDefault(&s.EjectFor, defaultEjectFor)
	setDefault(&s.EjectAtMost, defaultEjectAtMost)
	setDefault(&s.EjectShare, defaultEjectShare)
	setDefault(&s.SlowStart, defaultSlowStart)
	setDefault(&s.ParallelLoads, defaultParallelLoads)
	setDefault(&s.KeepPrefix, defaultKeepPrefix)
	setDefault(&s.DrainBound, defaultDrainBound)
	return s
}

func setDefault[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

var errMissingOption = errors.New("configuration, directory, caller and registrar are needed")

func (o Options) withDefaults() (Options, error) {
	if o.Configuration == nil || o.Directory == nil || o.Caller == nil || o.Registrar == nil {
		return o, errMissingOption
	}
	o.Settings = o.Settings.withDefaults()
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.HTTP == nil {
		o.HTTP = newHTTPClient(o.Settings)
	}
	return o, nil
}
