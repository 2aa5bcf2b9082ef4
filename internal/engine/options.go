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

// Options configures a Service. Configuration, Directory, PeerClient and Registrar are required.
type Options struct {
	Self          identity.Process
	Configuration configuration.Source
	Directory     members.Directory
	PeerClient    peer.Client
	Registrar     peer.Registrar
	MachineList   platform.MachineList // nil: this daemon does not read the machine list
	WeightStore   platform.WeightStore // nil: loads are not limited by their size
	// FilterEnded returns those of the given programs that have ended or are unknown. It
	// returns an error if that cannot be determined now. nil: memory that engines hold is not
	// reconciled.
	FilterEnded func(ctx context.Context, programs []identity.Program) ([]identity.Program, error)
	HTTPClient  *http.Client // nil: a client with CallTimeout is created
	Logger      *zap.Logger
	Registerer  prometheus.Registerer // nil: metrics are counted but not registered
	Settings    Settings
}

// Settings contains the intervals and limits of supervision. A value of zero or less is
// replaced by the default given with the field, except for WeightBytesPerSecond.
type Settings struct {
	PollInterval          time.Duration // time between polls of an engine's state, jittered by 10 % either way; default 1 s
	CallTimeout           time.Duration // timeout of one call to an engine or another daemon; default 2 s
	MaxConcurrentCalls    int           // maximum number of concurrent calls to engines; default 32
	DigestInterval        time.Duration // time between batches of digests to the region's daemons; default 1 s
	DigestBytesPerSecond  float64       // rate limit of digests to all daemons together; digests over the limit are delayed, and newer ones replace them; default 8192
	DigestRefreshInterval time.Duration // time after which an unchanged digest is sent again; default 3 s
	MaxDigestAge          time.Duration // age of a digest beyond which its engine gets no new work; default 8 s
	RebuildInterval       time.Duration // minimum time between two rebuilds of the snapshot; default 50 ms
	MachineListInterval   time.Duration // time between reads of the machine list, jittered by 10 % either way; default 2 s
	ReconcileInterval     time.Duration // time between listings of the memory that an engine holds; default 15 s
	ReconcileBatch        int           // maximum number of programs in one call of FilterEnded; default 256
	MaxQueuedReleases     int           // maximum number of programs queued for release, per engine; default 4096
	EjectAfterFailures    int           // number of consecutive failures from which an engine is ejected; default 5
	EjectErrorRate        float64       // error rate, an exponentially weighted share from 0 to 1, from which an engine is ejected; default 0.5
	EjectSlowFactor       float64       // an engine is ejected if its mean request time is more than this many times its peers' median; default 4
	BaseEjectionTime      time.Duration // duration of the first ejection, doubled for each consecutive one, plus up to 30 % jitter; default 5 s
	MaxEjectionTime       time.Duration // maximum duration of an ejection before jitter; default 60 s
	MaxEjectedShare       float64       // maximum share of ejected engines among those of the same model and hardware, 0 to 1; default 0.5
	SlowStart             time.Duration // time over which a recovering engine's share of its batch size grows to 1; default 10 s
	MaxParallelOrders     int           // maximum number of engines of a pool that execute orders at once; default 4
	PrefixTTL             time.Duration // time after the last use of a shared prefix during which the engine is assumed to hold it; default 2 min
	MaxDrainTime          time.Duration // maximum wait for running requests before an order that interrupts service; default 60 s
	WeightBytesPerSecond  float64       // rate limit of the weight store, shared by the daemons of the region; 0: unlimited
}

const (
	defaultPollInterval          = time.Second
	defaultCallTimeout           = 2 * time.Second
	defaultMaxConcurrentCalls    = 32
	defaultDigestInterval        = time.Second
	defaultDigestBytesPerSecond  = 8192.0
	defaultDigestRefreshInterval = 3 * time.Second
	defaultMaxDigestAge          = 8 * time.Second
	defaultRebuildInterval       = 50 * time.Millisecond
	defaultMachineListInterval   = 2 * time.Second
	defaultReconcileInterval     = 15 * time.Second
	defaultReconcileBatch        = 256
	defaultMaxQueuedReleases     = 4096
	defaultEjectAfterFailures    = 5
	defaultEjectErrorRate        = 0.5
	defaultEjectSlowFactor       = 4.0
	defaultBaseEjectionTime      = 5 * time.Second
	defaultMaxEjectionTime       = time.Minute
	defaultMaxEjectedShare       = 0.5
	defaultSlowStart             = 10 * time.Second
	defaultMaxParallelOrders     = 4
	defaultPrefixTTL             = 2 * time.Minute
	defaultMaxDrainTime          = time.Minute
)

func (s Settings) withDefaults() Settings {
	setDefault(&s.PollInterval, defaultPollInterval)
	setDefault(&s.CallTimeout, defaultCallTimeout)
	setDefault(&s.MaxConcurrentCalls, defaultMaxConcurrentCalls)
	setDefault(&s.DigestInterval, defaultDigestInterval)
	setDefault(&s.DigestBytesPerSecond, defaultDigestBytesPerSecond)
	setDefault(&s.DigestRefreshInterval, defaultDigestRefreshInterval)
	setDefault(&s.MaxDigestAge, defaultMaxDigestAge)
	setDefault(&s.RebuildInterval, defaultRebuildInterval)
	setDefault(&s.MachineListInterval, defaultMachineListInterval)
	setDefault(&s.ReconcileInterval, defaultReconcileInterval)
	setDefault(&s.ReconcileBatch, defaultReconcileBatch)
	setDefault(&s.MaxQueuedReleases, defaultMaxQueuedReleases)
	setDefault(&s.EjectAfterFailures, defaultEjectAfterFailures)
	setDefault(&s.EjectErrorRate, defaultEjectErrorRate)
	setDefault(&s.EjectSlowFactor, defaultEjectSlowFactor)
	setDefault(&s.BaseEjectionTime, defaultBaseEjectionTime)
	setDefault(&s.MaxEjectionTime, defaultMaxEjectionTime)
	setDefault(&s.MaxEjectedShare, defaultMaxEjectedShare)
	setDefault(&s.SlowStart, defaultSlowStart)
	setDefault(&s.MaxParallelOrders, defaultMaxParallelOrders)
	setDefault(&s.PrefixTTL, defaultPrefixTTL)
	setDefault(&s.MaxDrainTime, defaultMaxDrainTime)
	return s
}

func setDefault[T ~int | ~int64 | ~float64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

var errMissingOption = errors.New("options Configuration, Directory, PeerClient and Registrar are required")

func (o Options) withDefaults() (Options, error) {
	if o.Configuration == nil || o.Directory == nil || o.PeerClient == nil || o.Registrar == nil {
		return o, errMissingOption
	}
	o.Settings = o.Settings.withDefaults()
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.HTTPClient == nil {
		o.HTTPClient = newHTTPClient(o.Settings)
	}
	return o, nil
}
