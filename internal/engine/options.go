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

// Options configures a Service. Configuration, Directory, Caller and Registrar are required.
type Options struct {
	Self          identity.Process
	Configuration configuration.Source
	Directory     members.Directory
	Caller        peer.Caller
	Registrar     peer.Registrar
	Machines      platform.Machines // nil: this daemon does not read the machine list
	Weights       platform.Weights  // nil: loads are not limited by their size
	// EndedOrUnknown returns those of the given programs that have ended or are unknown. It
	// returns an error if that cannot be determined now. nil: memory that engines hold is not
	// reconciled.
	EndedOrUnknown func(ctx context.Context, programs []identity.Program) ([]identity.Program, error)
	HTTP           *http.Client // nil: a client with PollTimeout is created
	Logger         *zap.Logger
	Registerer     prometheus.Registerer // nil: metrics are counted but not registered
	Settings       Settings
}

// Settings contains the intervals and limits of supervision. A value of zero or less is
// replaced by the default given with the field, except for WeightBytesPerSecond.
type Settings struct {
	PollInterval         time.Duration // time between polls of an engine's state, jittered by 10 % either way; default 1 s
	PollTimeout          time.Duration // timeout of one call to an engine or another daemon; default 2 s
	PollConcurrency      int           // maximum number of concurrent calls to engines; default 32
	SpreadInterval       time.Duration // time between batches of digests to the region's daemons; default 1 s
	SpreadBytesPerSecond float64       // rate limit of digests to all daemons together; digests over the limit are delayed, and newer ones replace them; default 8192
	RefreshInterval      time.Duration // time after which an unchanged digest is sent again; default 3 s
	DigestTooOld         time.Duration // age of a digest beyond which its engine gets no new work; default 8 s
	RebuildInterval      time.Duration // minimum time between two rebuilds of the snapshot; default 50 ms
	MachineInterval      time.Duration // time between reads of the machine list, jittered by 10 % either way; default 2 s
	ReconcileInterval    time.Duration // time between listings of the memory that an engine holds; default 15 s
	ReconcileBatch       int           // maximum number of programs in one call of EndedOrUnknown; default 256
	ReleaseQueue         int           // maximum number of programs queued for release, per engine; default 4096
	EjectAfterFailures   int           // number of consecutive failures from which an engine is ejected; default 5
	EjectErrorRate       float64       // error rate, an exponentially weighted share from 0 to 1, from which an engine is ejected; default 0.5
	EjectSlowFactor      float64       // an engine is ejected if its mean request time is more than this many times its peers' median; default 4
	EjectFor             time.Duration // duration of the first ejection, doubled for each consecutive one, plus up to 30 % jitter; default 5 s
	EjectAtMost          time.Duration // maximum duration of an ejection before jitter; default 60 s
	EjectShare           float64       // maximum share of ejected engines among those of the same model and hardware, 0 to 1; default 0.5
	SlowStart            time.Duration // time over which a recovering engine's share of its batch size grows to 1; default 10 s
	ParallelLoads        int           // maximum number of engines of a pool that execute orders at once; default 4
	KeepPrefix           time.Duration // time after the last use of a shared prefix during which the engine is assumed to hold it; default 2 min
	DrainBound           time.Duration // maximum wait for running requests before an order that interrupts service; default 60 s
	WeightBytesPerSecond float64       // rate limit of the weight store, shared by the daemons of the region; 0: unlimited
}

const (
	defaultPollInterval         = time.Second
	defaultPollTimeout          = 2 * time.Second
	defaultPollConcurrency      = 32
	defaultSpreadInterval       = time.Second
	defaultSpreadBytesPerSecond = 8192.0
	defaultRefreshInterval      = 3 * time.Second
	defaultDigestTooOld         = 8 * time.Second
	defaultRebuildInterval      = 50 * time.Millisecond
	defaultMachineInterval      = 2 * time.Second
	defaultReconcileInterval    = 15 * time.Second
	defaultReconcileBatch       = 256
	defaultReleaseQueue         = 4096
	defaultEjectAfterFailures   = 5
	defaultEjectErrorRate       = 0.5
	defaultEjectSlowFactor      = 4.0
	defaultEjectFor             = 5 * time.Second
	defaultEjectAtMost          = time.Minute
	defaultEjectShare           = 0.5
	defaultSlowStart            = 10 * time.Second
	defaultMaxParallelOrders    = 4
	defaultKeepPrefix           = 2 * time.Minute
	defaultDrainBound           = time.Minute
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.PollInterval, defaultPollInterval)
	setDefault(&s.PollTimeout, defaultPollTimeout)
	setDefault(&s.PollConcurrency, defaultPollConcurrency)
	setDefault(&s.SpreadInterval, defaultSpreadInterval)
	setDefault(&s.SpreadBytesPerSecond, defaultSpreadBytesPerSecond)
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
	setDefault(&s.ParallelLoads, defaultMaxParallelOrders)
	setDefault(&s.KeepPrefix, defaultKeepPrefix)
	setDefault(&s.DrainBound, defaultDrainBound)
	return s
}

func setDefault[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

var errMissingOption = errors.New("configuration, directory, caller and registrar are required")

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
