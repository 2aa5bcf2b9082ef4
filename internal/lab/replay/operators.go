package replay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
)

const observeInterval = 20 * time.Millisecond

// revisionSample is the revision that a daemon reported.
type revisionSample struct {
	requestedAt time.Time // before the request was sent
	machine     string
	revision    uint64
	confirmed   bool
}

// revisionObserver polls the revision of every daemon. It is safe for concurrent
// use.
type revisionObserver struct {
	mutex   sync.Mutex
	samples []revisionSample
}

func startObserver(ctx context.Context, running *fleet.Fleet) *revisionObserver {
	observer := &revisionObserver{}
	for _, daemon := range running.Daemons {
		go observer.watch(ctx, running, daemon)
	}
	return observer
}

func (o *revisionObserver) watch(ctx context.Context, running *fleet.Fleet, daemon *fleet.Daemon) {
	for sleep(ctx, observeInterval) {
		if !daemon.IsRunning() {
			continue
		}
		asked := time.Now()
		status, err := running.Status(ctx, daemon)
		if err != nil {
			continue
		}
		o.mutex.Lock()
		o.samples = append(o.samples, revisionSample{
			requestedAt: asked, machine: daemon.Name, revision: status.ConfigurationRevision, confirmed: status.ConfigurationConfirmed,
		})
		o.mutex.Unlock()
	}
}

func (o *revisionObserver) copySamples() []revisionSample {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]revisionSample(nil), o.samples...)
}

// raceResult is the outcome of concurrent changes of the same revision.
type raceResult struct {
	operators  int
	accepted   []uint64  // revisions that accepted changes made
	acceptedAt time.Time // when the last acceptance reached its operator
}

// raceOperators lets several operators change the latest revision concurrently,
// with the first attempts at successive daemons.
func (r *run) raceOperators(ctx context.Context, fault Fault) error {
	base, err := r.latestConfiguration(ctx)
	if err != nil {
		return err
	}
	race := raceResult{operators: max(2, fault.Count)}
	var wg sync.WaitGroup
	var mutex sync.Mutex
	for index := range race.operators {
		wg.Go(func() {
			called := time.Now()
			revision, err := r.applyChange(ctx, base, index)
			r.recordChange(configurationChange{operator: index, base: base.Revision, called: called, returned: time.Now(), outcome: outcomeOf(revision, err)})
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				race.accepted = append(race.accepted, revision)
				race.acceptedAt = time.Now()
			}
		})
	}
	wg.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.races = append(r.races, race)
	return nil
}

func (r *run) recordChange(change configurationChange) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changes = append(r.changes, change)
}

func outcomeOf(revision uint64, err error) changeOutcome {
	if err == nil {
		return changeOutcome{revision: revision}
	}
	return changeOutcome{unknown: connect.CodeOf(err) != connect.CodeAborted}
}

// latestConfiguration returns the configuration with the highest revision that a
// running daemon reports.
func (r *run) latestConfiguration(ctx context.Context) (*operatorv1.GetConfigurationResponse, error) {
	var found *operatorv1.GetConfigurationResponse
	for _, daemon := range r.fleet.Daemons {
		if !daemon.IsRunning() {
			continue
		}
		reply, err := r.fleet.Operator(daemon).GetConfiguration(ctx, connect.NewRequest(&operatorv1.GetConfigurationRequest{}))
		if err == nil && (found == nil || reply.Msg.Revision > found.Revision) {
			found = reply.Msg
		}
	}
	if found == nil {
		return nil, eris.New("no running daemon returned its configuration")
	}
	return found, nil
}

// applyChange adds a tenant to the base configuration and returns the new
// revision. It retries at the next daemon until the change is accepted, it is
// rejected or ctx is done.
func (r *run) applyChange(ctx context.Context, base *operatorv1.GetConfigurationResponse, index int) (uint64, error) {
	document := proto.CloneOf(base.Document)
	document.Tenants = append(document.Tenants, &operatorv1.Tenant{Name: fmt.Sprintf("raced-%d-%d", base.Revision, index)})
	identifier := fmt.Sprintf("race-%d-%d", base.Revision, index)
	for attempt := 0; ; attempt++ {
		daemon := r.fleet.Daemons[(index+attempt)%len(r.fleet.Daemons)]
		revision, err := r.fleet.Apply(ctx, daemon, identifier, base.Revision, document)
		if err == nil || connect.CodeOf(err) == connect.CodeAborted || connect.CodeOf(err) == connect.CodeInvalidArgument {
			return revision, err
		}
		if !sleep(ctx, retryInterval) {
			return 0, err
		}
	}
}

// drainBackEnd drains a back end through the operator API. It retries at the next
// daemon until that succeeds or ctx is done.
func (r *run) drainBackEnd(ctx context.Context, name string) error {
	var err error
	for attempt := 0; ; attempt++ {
		daemon := r.fleet.Daemons[attempt%len(r.fleet.Daemons)]
		_, err = r.fleet.Operator(daemon).SetDrains(ctx, connect.NewRequest(&operatorv1.SetDrainsRequest{
			ChangeIdentifier: "drain-" + name,
			Add:              []string{r.drainName(name)},
		}))
		if err == nil || !sleep(ctx, retryInterval) {
			return eris.Wrapf(err, "drain %s", name)
		}
	}
}

// drainName returns the name by which the operator API knows the back end. For a
// replica of a service or tool that is its address, since it has no name in the
// configuration.
func (r *run) drainName(name string) string {
	for _, replica := range r.fleet.Replicas {
		if replica.Name == name {
			return strings.TrimPrefix(replica.URL, "http://")
		}
	}
	return name
}
