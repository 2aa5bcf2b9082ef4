// Package settings loads and validates the settings of a daemon. They come from a
// YAML file and command-line flags; flags take precedence. The validation reports
// all faults at once.
package settings

import "time"

// Settings are the settings of one daemon. The yaml tag of a field is its key in the
// file. The name of its flag is the path of keys joined by dashes, with dashes in
// place of underscores: "limits.body_bytes" in the file is the flag
// "--limits-body-bytes". Durations are written like "250ms".
type Settings struct {
	Machine         string   `yaml:"machine" help:"Name of the machine; it stays the same when the process restarts." placeholder:"NAME"`
	Zone            string   `yaml:"zone" help:"Failure domain of the machine." placeholder:"ZONE"`
	Region          string   `yaml:"region" help:"Group of zones close to each other." placeholder:"REGION"`
	Listen          Listen   `yaml:"listen" embed:"" prefix:"listen-"`
	Advertise       string   `yaml:"advertise" help:"Peer address given to other daemons, IP:PORT; empty: the peer listener's own address." placeholder:"IP:PORT"`
	AdvertiseCaller string   `yaml:"advertise_caller" help:"Caller address given to other daemons, IP:PORT; empty: the caller listener's own address." placeholder:"IP:PORT"`
	Platform        Platform `yaml:"platform" embed:"" prefix:"platform-"`

	OperatorKeyHashes []string `yaml:"operator_key_hashes" help:"SHA-256 hashes of the operators' bearer keys in hexadecimal, each with the operator's name before it or not: NAME:HASH." placeholder:"NAME:HASH"`
	TLS               TLS      `yaml:"tls" embed:"" prefix:"tls-"`

	Shards          uint32        `yaml:"shards" help:"Number of program shards; fixed at the first start of the fleet." placeholder:"N"`
	BootstrapExpect int           `yaml:"bootstrap_expect" help:"Daemons that must see each other before the first shards are led." placeholder:"N"`
	ConfirmBound    time.Duration `yaml:"confirm_bound" help:"Longest time that a configuration revision counts as confirmed; then new work is refused." placeholder:"DURATION"`
	CommitTimeout   time.Duration `yaml:"commit_timeout" help:"Longest time of one commitment to the log of a shard." placeholder:"DURATION"`
	DrainTimeout    time.Duration `yaml:"drain_timeout" help:"Longest time of a planned stop." placeholder:"DURATION"`

	Limits     Limits     `yaml:"limits" embed:"" prefix:"limits-"`
	Log        Log        `yaml:"log" embed:"" prefix:"log-"`
	Scheduling Scheduling `yaml:"scheduling" embed:"" prefix:"scheduling-"`
	Retries    Retries    `yaml:"retries" embed:"" prefix:"retries-"`
	Engines    Engines    `yaml:"engines" embed:"" prefix:"engines-"`
}

// Listen contains the addresses of the listeners, "IP:PORT". With port 0 the listener
// gets a free port.
type Listen struct {
	Caller   string `yaml:"caller" help:"Listener for callers, IP:PORT." placeholder:"IP:PORT"`
	Operator string `yaml:"operator" help:"Listener for operators, IP:PORT." placeholder:"IP:PORT"`
	Peer     string `yaml:"peer" help:"Listener for other daemons, IP:PORT." placeholder:"IP:PORT"`
	Metrics  string `yaml:"metrics" help:"Listener for metrics and health, IP:PORT." placeholder:"IP:PORT"`
}

// Platform contains the addresses of the platform's services. Store is required. An
// empty URL means that the platform does not have the service.
type Platform struct {
	Store    string `yaml:"store" help:"Address of the transactional store, IP:PORT." placeholder:"IP:PORT"`
	Machines string `yaml:"machines" help:"Base URL of the list of machines." placeholder:"URL"`
	Weights  string `yaml:"weights" help:"Base URL of the weight store." placeholder:"URL"`
}

// TLS contains the TLS files of each listener. The files of the peer listener also
// authenticate this daemon when it connects to other daemons.
type TLS struct {
	Caller   TLSFiles `yaml:"caller" embed:"" prefix:"caller-"`
	Operator TLSFiles `yaml:"operator" embed:"" prefix:"operator-"`
	Peer     TLSFiles `yaml:"peer" embed:"" prefix:"peer-"`
	Metrics  TLSFiles `yaml:"metrics" embed:"" prefix:"metrics-"`
}

// TLSFiles are the names of the PEM files of one listener. Certificate and Key must be
// set together. If Authority is set, clients must present a certificate signed by one
// of the authorities in that file.
type TLSFiles struct {
	Certificate string `yaml:"certificate" help:"PEM file of the certificate chain." placeholder:"FILE"`
	Key         string `yaml:"key" help:"PEM file of the private key." placeholder:"FILE"`
	Authority   string `yaml:"authority" help:"PEM file of the authorities that sign clients' certificates." placeholder:"FILE"`
}

// Limits are the limits for callers at one daemon: sizes, counts and times.
type Limits struct {
	BodyBytes       int64         `yaml:"body_bytes" help:"Largest body of a request, in bytes." placeholder:"BYTES"`
	HeaderBytes     int           `yaml:"header_bytes" help:"Largest header of a request, in bytes." placeholder:"BYTES"`
	Connections     int           `yaml:"connections" help:"Most connections at once on a listener; more wait in the kernel." placeholder:"N"`
	Requests        int           `yaml:"requests" help:"Most requests of callers at once; more are refused as not run." placeholder:"N"`
	HeaderTimeout   time.Duration `yaml:"header_timeout" help:"Longest time to read a request's header." placeholder:"DURATION"`
	ReadTimeout     time.Duration `yaml:"read_timeout" help:"Longest time to read a whole request." placeholder:"DURATION"`
	WriteTimeout    time.Duration `yaml:"write_timeout" help:"Longest time that a caller may take to read one part of an answer." placeholder:"DURATION"`
	IdleTimeout     time.Duration `yaml:"idle_timeout" help:"Longest time that an idle connection is kept." placeholder:"DURATION"`
	CallTimeout     time.Duration `yaml:"call_timeout" help:"Deadline of a call that names none." placeholder:"DURATION"`
	LongestDeadline time.Duration `yaml:"longest_deadline" help:"Longest deadline that a call may name." placeholder:"DURATION"`
}

// Log selects the level and the format of the log.
type Log struct {
	Level  string `yaml:"level" help:"Lowest level that is logged: debug, info, warn or error." placeholder:"LEVEL"`
	Format string `yaml:"format" help:"Format of the log: json or console." placeholder:"FORMAT"`
}

// Scheduling contains the weights for choosing an engine and the limits of waiting for
// one. A weight, HolderQueue or WorkingSet of zero switches off what it controls.
type Scheduling struct {
	ExpectedOutput  int64         `yaml:"expected_output" help:"Usual count of generated tokens of a call." placeholder:"TOKENS"`
	InflictedWeight float64       `yaml:"inflicted_weight" help:"Weight of the delay that a placement inflicts on running streams." placeholder:"FACTOR"`
	WasteWeight     float64       `yaml:"waste_weight" help:"Weight of prompt tokens that are computed although a cache elsewhere holds them." placeholder:"FACTOR"`
	EvictionWeight  float64       `yaml:"eviction_weight" help:"Weight of what a new prefix displaces from a full cache." placeholder:"FACTOR"`
	HolderQueue     int           `yaml:"holder_queue" help:"Calls beyond a full batch that may wait inside the engine that holds their prefix." placeholder:"N"`
	WorkingSet      float64       `yaml:"working_set" help:"Share of the engines' caches that live programs may fill before new ones wait." placeholder:"SHARE"`
	StaleAfter      time.Duration `yaml:"stale_after" help:"Age from which an engine's report is distrusted; longer than engines.refresh_interval and two spread intervals." placeholder:"DURATION"`
	WaitInteractive time.Duration `yaml:"wait_interactive" help:"Longest wait for an engine of a new interactive program's call; started programs may wait three times as long." placeholder:"DURATION"`
	WaitStandard    time.Duration `yaml:"wait_standard" help:"The same for standard programs." placeholder:"DURATION"`
	WaitBatch       time.Duration `yaml:"wait_batch" help:"The same for batch programs." placeholder:"DURATION"`
	Waiting         int           `yaml:"waiting" help:"Most calls of one model that wait in a line for an engine; the last in order is refused as not run." placeholder:"N"`
	HoldPrefix      time.Duration `yaml:"hold_prefix" help:"Longest lease of a program's prefix between its turns." placeholder:"DURATION"`
}

// Retries limit the retries of all calls of one daemon.
type Retries struct {
	Share     float64 `yaml:"share" help:"Retries for each first attempt, on average." placeholder:"SHARE"`
	PerSecond float64 `yaml:"per_second" help:"Retries a second besides." placeholder:"N"`
	Burst     int     `yaml:"burst" help:"Most retries at once." placeholder:"N"`
}

// Engines contains the intervals and limits for supervising engines and for sending
// calls to engines and other back ends.
type Engines struct {
	PollInterval         time.Duration `yaml:"poll_interval" help:"Between reads of an engine's state." placeholder:"DURATION"`
	SpreadInterval       time.Duration `yaml:"spread_interval" help:"Between reports to the region's daemons." placeholder:"DURATION"`
	SpreadBytesPerSecond float64       `yaml:"spread_bytes_per_second" help:"Most bytes a second of reports to all daemons together." placeholder:"BYTES"`
	RefreshInterval      time.Duration `yaml:"refresh_interval" help:"After which an unchanged report is spread again." placeholder:"DURATION"`
	ReportTooOld         time.Duration `yaml:"report_too_old" help:"Age of the report from which an engine gets no new work." placeholder:"DURATION"`
	EjectAfterFailures   int           `yaml:"eject_after_failures" help:"Failures in a row that eject an engine." placeholder:"N"`
	EjectErrorRate       float64       `yaml:"eject_error_rate" help:"Share of failures that ejects an engine." placeholder:"SHARE"`
	EjectSlowFactor      float64       `yaml:"eject_slow_factor" help:"An engine so many times slower than its kind's median is ejected." placeholder:"FACTOR"`
	EjectFor             time.Duration `yaml:"eject_for" help:"First time of ejection, doubled each time." placeholder:"DURATION"`
	EjectShare           float64       `yaml:"eject_share" help:"Share of a model's engines that may be ejected." placeholder:"SHARE"`
	ParallelLoads        int           `yaml:"parallel_loads" help:"Engines of a pool without service that load at once." placeholder:"N"`
	DrainBound           time.Duration `yaml:"drain_bound" help:"Longest wait for running requests before an order that stops service." placeholder:"DURATION"`
	WeightBytesPerSecond float64       `yaml:"weight_bytes_per_second" help:"Rate of the weight store for all daemons of the region; 0: not limited." placeholder:"BYTES"`
	Connections          int           `yaml:"connections" help:"Most attempts at once at one back end." placeholder:"N"`
	DialTimeout          time.Duration `yaml:"dial_timeout" help:"Longest time to connect to a back end." placeholder:"DURATION"`
	IdleStream           time.Duration `yaml:"idle_stream" help:"Silence on a stream after which it is resumed." placeholder:"DURATION"`
	MaxAttempt           time.Duration `yaml:"max_attempt" help:"Longest time of one attempt without deadline." placeholder:"DURATION"`
}
