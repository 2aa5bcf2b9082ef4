package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thymeloft/thymeloft/internal/gateway"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
)

// revisionSchema decodes configurations whose row is their revision. They have no routes.
type revisionSchema struct{ StoreSchema }

func (revisionSchema) ConfigurationKey() state.Key { return configurationKey }

func (revisionSchema) DecodeRoutes(row state.Row) (*routetable.Table, error) {
	revision, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, eris.Wrap(err, "decode revision")
	}
	return routetable.New(revision, routetable.Limits{}, nil, nil), nil
}

// plainHeaders is a codec of requests without headers of their own.
type plainHeaders struct{ gateway.HeaderCodec }

func (plainHeaders) ParseCall(http.Header) (gateway.Call, error) { return gateway.Call{}, nil }

func (plainHeaders) SetRefusal(http.Header, string, time.Duration) {}

// modelProcess is a process that follows the configuration, as a Server does, and answers requests.
type modelProcess struct {
	gateway *gateway.Gateway
	logged  *observer.ObservedLogs
	stop    func()
}

// startModelProcess starts a process that reaches the store over the two routes. It answers with the
// gateway, which gets the options of the process.
func startModelProcess(bounds timeBounds, direct, relay state.Store, gateway *gateway.Gateway) *modelProcess {
	core, logged := observer.New(zap.WarnLevel)
	p := &modelProcess{logged: logged, gateway: gateway}
	server := New(Options{
		Settings:    Settings{ContactMillis: float64(bounds.contact.Milliseconds())},
		StoreSchema: revisionSchema{}, HeaderCodec: plainHeaders{}, Log: zap.New(core), Registry: prometheus.NewRegistry(),
	})
	client := state.NewClient(state.ClientOptions{
		Store: direct, Alternative: relay, Probe: state.KeyRange(configurationKey),
		Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {}),
		Limiter:      state.NewLimiter(state.LimiterOptions{Rates: state.Rates{Writes: 800, Reads: 2000}, MemberCount: func() int { return 12 }}),
	})
	gateway.Options = server.gatewayOptions(&components{client: client})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { server.followConfiguration(ctx, client, func(*routetable.Table) {}) })
	running.Go(func() {
		for pause.Sleep(ctx, 50*time.Millisecond) {
			_, _ = client.Read(ctx, state.KeyRange(state.Key{Table: "t", Partition: "p", Name: "n"}))
		}
	})
	p.stop = func() { cancel(); running.Wait() }
	return p
}

// request sends a request to a route that no configuration has. It returns the status, and the
// revision by which the request was decided, if there was one.
func (p *modelProcess) request() (status int, revision uint64) {
	p.logged.TakeAll()
	answer := httptest.NewRecorder()
	p.gateway.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://absent.example/", nil))
	for _, line := range p.logged.FilterMessage("request: failed.").All() {
		revision, _ = line.ContextMap()["revision"].(uint64)
	}
	return answer.Code, revision
}

// laggingStore is a store whose readings are behind while isLagging.
type laggingStore struct {
	*memorystore.Store
	isLagging func() bool
	lag       time.Duration

	mutex   sync.Mutex
	written []time.Time // when each revision was written
	pages   []state.Page
}

// write writes the next revision, which is numbered from 1.
func (l *laggingStore) write() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Write(state.Put{Key: configurationKey, Value: []byte(strconv.Itoa(len(l.written) + 1))})
	page, err := l.Store.Read(context.Background(), state.Range{Table: configurationKey.Table})
	if err != nil {
		panic(err)
	}
	l.written = append(l.written, time.Now())
	l.pages = append(l.pages, page)
}

// newestAt returns the newest revision that had been written at the time; 0: none.
func (l *laggingStore) newestAt(at time.Time) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	index, _ := slices.BinarySearchFunc(l.written, at, func(written, at time.Time) int {
		if written.After(at) {
			return 1
		}
		return -1
	})
	return uint64(index) //nolint:gosec // not negative
}

// Read implements state.Store. It returns the rows as of lag ago while isLagging.
func (l *laggingStore) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	if selected.Table != configurationKey.Table || !l.isLagging() {
		return l.Store.Read(ctx, selected)
	}
	newest := l.newestAt(time.Now().Add(-l.lag))
	if newest == 0 {
		return state.Page{}, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pages[newest-1], nil
}

// TestNoDenialByReplacedConfiguration guards against a request that is denied, with status 404, by a
// configuration that was replaced longer ago than the time to apply a change, whatever happened to the
// daemon and its routes to the store. It also checks that what does not exist is denied again once
// the daemon had undisturbed contact.
func TestNoDenialByReplacedConfiguration(t *testing.T) {
	const seeds = 25
	// The gateway has a goroutine that never ends, which synctest does not allow inside a play.
	sharedGateway := gateway.New(gateway.Options{})
	for _, bounds := range allTimeBounds {
		for seed := uint64(1); seed <= seeds; seed++ {
			t.Run(fmt.Sprintf("contact %s seed %d", bounds.contact, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkDenials(t, sharedGateway, bounds, seed) })
			})
		}
	}
}

// denialPlay is one random play.
type denialPlay struct {
	bounds        timeBounds
	store         *laggingStore
	direct, relay *storeRoute
	disturbances  faultPeriods  // times in which something fails, or readings are behind
	compactions   faultPeriods  // times in which readings are behind
	restarts      []time.Time   // when the process is started anew, in this order
	interval      time.Duration // between two revisions
	gateway       *gateway.Gateway
	process       *modelProcess
	startedAt     time.Time
}

// newDenialPlay draws a play of the given duration.
func newDenialPlay(bounds timeBounds, random *rand.Rand, duration time.Duration) *denialPlay {
	const (
		longestFault = 5 * time.Second
		longestLag   = 6600 * time.Millisecond
		longestHold  = 2500 * time.Millisecond
	)
	down := drawFaultPeriods(random, 2, longestFault, duration)
	silent := drawFaultPeriods(random, 2, longestFault, duration)
	held := drawFaultPeriods(random, 6, longestHold, duration)
	relaySilent := drawFaultPeriods(random, 4, longestFault, duration)
	relayHeld := drawFaultPeriods(random, 4, longestHold, duration)
	p := &denialPlay{bounds: bounds, interval: 30*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))}
	p.store = &laggingStore{Store: memorystore.New(), isLagging: func() bool { return p.compactions.active() }}
	p.direct = &storeRoute{Store: p.store, answerTimeout: time.Second, isDown: down.active, isSilent: silent.active, isHeld: held.active}
	p.relay = &storeRoute{Store: p.store, answerTimeout: 900 * time.Millisecond, isDown: never, isSilent: relaySilent.active, isHeld: relayHeld.active}
	p.disturbances = slices.Concat(down, silent, held, relaySilent, relayHeld)
	for range random.IntN(5) {
		p.restarts = append(p.restarts, time.Now().Add(time.Duration(random.Int64N(int64(duration)))))
	}
	slices.SortFunc(p.restarts, time.Time.Compare)
	p.compactions = drawFaultPeriods(random, 2, 2*longestLag, duration)
	p.store.lag = time.Duration(random.Int64N(int64(longestLag)))
	p.disturbances = append(p.disturbances, p.compactions...)
	return p
}

// start starts the process anew.
func (p *denialPlay) start() {
	if p.process != nil {
		p.process.stop()
	}
	p.process = startModelProcess(p.bounds, p.direct, p.relay, p.gateway)
	p.startedAt = time.Now()
}

// isUndisturbed reports whether nothing has failed for the contact time, nor since readings were
// behind.
func (p *denialPlay) isUndisturbed() bool {
	since := time.Now().Add(-p.bounds.contact)
	if p.startedAt.After(since) {
		return false
	}
	for _, period := range p.disturbances {
		if period.from.Before(time.Now()) && period.to.After(since) {
			return false
		}
	}
	return true
}

// scheduleLostHistories makes the store forget its history at the start and in the middle of each
// compaction.
func (p *denialPlay) scheduleLostHistories() {
	for _, period := range p.compactions {
		untilStart, length := time.Until(period.from), period.to.Sub(period.from)
		time.AfterFunc(untilStart, p.store.ForgetHistory)
		time.AfterFunc(untilStart+length/2, p.store.ForgetHistory)
	}
}

// writeRevisions writes a revision at each interval until ctx is done.
func (p *denialPlay) writeRevisions(ctx context.Context) {
	for {
		p.store.write()
		if !pause.Sleep(ctx, p.interval) {
			return
		}
	}
}

// restartWhenDue starts the process anew if the time of the next restart has come.
func (p *denialPlay) restartWhenDue() {
	if len(p.restarts) > 0 && !time.Now().Before(p.restarts[0]) {
		p.restarts = p.restarts[1:]
		p.start()
	}
}

// checkDenials runs the play of a seed.
func checkDenials(t *testing.T, sharedGateway *gateway.Gateway, bounds timeBounds, seed uint64) {
	const (
		duration        = 30 * time.Second
		requestInterval = 20 * time.Millisecond
	)
	g := NewWithT(t)
	play := newDenialPlay(bounds, rand.New(rand.NewPCG(seed, 1)), duration)
	play.gateway = sharedGateway
	play.scheduleLostHistories()
	writing, stopWriting := context.WithCancel(context.Background())
	t.Cleanup(func() { stopWriting(); play.process.stop(); synctest.Wait() })
	go play.writeRevisions(writing)
	play.start()
	begin := time.Now()
	for time.Since(begin) < duration+bounds.contact+bounds.apply {
		play.restartWhenDue()
		status, revision := play.process.request()
		due := play.store.newestAt(time.Now().Add(-bounds.apply))
		description := fmt.Sprintf("bounds %v, seed %d, %s after the begin: status %d by revision %d, due %d", bounds, seed, time.Since(begin), status, revision, due)
		if status == http.StatusNotFound {
			g.Expect(revision).To(BeNumerically(">=", due), description)
		}
		if play.isUndisturbed() {
			g.Expect(status).To(Equal(http.StatusNotFound), description)
		}
		time.Sleep(requestInterval)
	}
}
