package scale

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

const (
	operatorKey    = "scale-operator"
	callerKey      = "scale-caller"
	tenantName     = "tenant-0000"
	modelName      = "model"
	modelVersion   = "1"
	drainTimeout   = time.Second
	requestTimeout = 30 * time.Second
	readyInterval  = 500 * time.Millisecond
	seedCount      = 3
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// child is one process of hollow daemons.
type child struct {
	command *exec.Cmd
	ready   HostReady
}

// fleet is one running measurement.
type fleet struct {
	command  *Command
	size     int
	children []*child
	store    *standin.Server
	engines  *engines
	revision uint64
	http     *http.Client
	readyIn  time.Duration
}

// startFleet starts the stand-ins and all daemons and waits until all are
// ready; the fleet is never nil.
func startFleet(ctx context.Context, command *Command, size int) (*fleet, error) {
	f := &fleet{command: command, size: size, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	begun := time.Now()
	var err error
	if f.store, err = standin.Start("127.0.0.1:0", platformstore.New(platformstore.Options{})); err != nil {
		return f, err
	}
	if f.engines, err = startEngines(max(1, int(float64(size)*command.EnginesPerDaemon))); err != nil {
		return f, err
	}
	if err := f.startChildren(); err != nil {
		return f, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return f, err
	}
	f.readyIn = time.Since(begun)
	return f, f.configure(ctx)
}

func (f *fleet) startChildren() error {
	var seeds []string
	for first := 0; first < f.size; first += f.command.PerProcess {
		started, err := startChild(HostPlan{
			First:    first,
			Count:    min(f.command.PerProcess, f.size-first),
			Zones:    f.command.Zones,
			Regions:  f.command.Regions,
			Shards:   uint32(max(1, int(float64(f.size)*f.command.ShardsPerDaemon))),
			Expect:   f.size,
			Store:    f.store.Address,
			Seeds:    seeds,
			LogLevel: f.command.LogLevel,
		})
		if started != nil {
			f.children = append(f.children, started)
		}
		if err != nil {
			return err
		}
		if len(seeds) == 0 {
			seeds = started.ready.Peers[:min(seedCount, len(started.ready.Peers))]
		}
	}
	return nil
}

func startChild(plan HostPlan) (*child, error) {
	encoded, err := json.Marshal(plan)
	if err != nil {
		return nil, eris.Wrap(err, "encode the plan")
	}
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find the executable")
	}
	command := exec.Command(self, "scale-host")
	command.Stdin = bytes.NewReader(encoded)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, eris.Wrap(err, "open standard output")
	}
	if err := command.Start(); err != nil {
		return nil, eris.Wrap(err, "start hollow daemons")
	}
	started := &child{command: command}
	return started, eris.Wrap(json.NewDecoder(output).Decode(&started.ready), "wait for hollow daemons")
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.command.ReadyTimeout)
	defer cancel()
	for {
		count := 0
		for _, child := range f.children {
			var ready int
			if err := f.get(ctx, child.ready.Control+"/ready", &ready); err != nil {
				return err
			}
			count += ready
		}
		if count == f.size {
			return nil
		}
		if err := pause(ctx, readyInterval); err != nil {
			return eris.Wrapf(err, "%d of %d daemons are ready", count, f.size)
		}
	}
}

func (f *fleet) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "make the request")
	}
	response, err := f.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return eris.Errorf("get %s: %s: %s", url, response.Status, text)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "read %s", url)
}

// configure applies the first configuration at one daemon.
func (f *fleet) configure(ctx context.Context) error {
	return f.apply(ctx, &operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: "scale-first",
		Content:          &operatorv1.ApplyConfigurationRequest_Document{Document: f.document()},
	})
}

// apply makes one change against the last revision that this fleet made.
func (f *fleet) apply(ctx context.Context, request *operatorv1.ApplyConfigurationRequest) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request.BaseRevision = f.revision
	signed := connect.NewRequest(request)
	signed.Header().Set("Authorization", "Bearer "+operatorKey)
	client := operatorv1connect.NewOperatorServiceClient(f.http, f.children[0].ready.Operator)
	reply, err := client.ApplyConfiguration(ctx, signed)
	if err != nil {
		return eris.Wrap(err, "apply the configuration")
	}
	f.revision = reply.Msg.Revision
	return nil
}

func tenant(number int) *operatorv1.Tenant {
	return &operatorv1.Tenant{
		Name:              fmt.Sprintf("tenant-%04d", number),
		KeyHashes:         []string{keyHash(fmt.Sprintf("%s-%d", callerKey, number))},
		TokenBudget:       1 << 40,
		MaxTurns:          1 << 20,
		RequestsPerSecond: 1 << 20,
		Burst:             1 << 20,
	}
}

func (f *fleet) document() *operatorv1.Document {
	document := &operatorv1.Document{Models: []*operatorv1.Model{{Name: modelName, Version: modelVersion}}}
	for number := range f.command.Tenants {
		document.Tenants = append(document.Tenants, tenant(number))
	}
	pool := &operatorv1.Pool{Name: modelName, Model: modelName}
	zones := min(f.command.Zones, f.size) // an engine in a zone without daemons is watched by every region
	for number := range f.engines.count {
		name := fmt.Sprintf("engine-%04d", number)
		pool.Engines = append(pool.Engines, name)
		document.Engines = append(document.Engines, &operatorv1.Engine{
			Name: name, Address: f.engines.url(number), Zone: fmt.Sprintf("zone-%02d", number%zones),
			Generation: modelengine.GenerationNew,
		})
	}
	document.Pools = []*operatorv1.Pool{pool}
	return document
}

// sample measures all processes over the same window.
func (f *fleet) sample(ctx context.Context, name string) (Row, error) {
	samples := make([]Sample, len(f.children))
	requestsBefore, bytesBefore := f.engines.requests.Load(), f.engines.bytes.Load()
	group, ctx := errgroup.WithContext(ctx)
	for index, child := range f.children {
		group.Go(func() error {
			return f.get(ctx, child.ready.Control+"/sample?window="+f.command.Window.String(), &samples[index])
		})
	}
	if err := group.Wait(); err != nil {
		return Row{}, err
	}
	if err := f.keepProfile(name, samples[0].Profile); err != nil {
		return Row{}, err
	}
	row := newRow(name, samples)
	row.ReadyIn = f.readyIn
	perDaemon := row.Seconds * float64(f.size)
	row.EngineRequests = float64(f.engines.requests.Load()-requestsBefore) / perDaemon
	row.EngineBytes = float64(f.engines.bytes.Load()-bytesBefore) / perDaemon
	return row, nil
}

// keepProfile writes the first process's profile beside the report.
func (f *fleet) keepProfile(name string, recorded []byte) error {
	path := filepath.Join(f.command.Out, fmt.Sprintf("%s-%d.pprof", name, f.size))
	return eris.Wrap(os.WriteFile(path, recorded, 0o644), "write the profile")
}

// close ends every process by its id.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, child := range f.children {
		ending.Go(func() {
			_ = child.command.Process.Signal(syscall.SIGTERM)
			killer := time.AfterFunc(2*drainTimeout+requestTimeout, func() { _ = child.command.Process.Kill() })
			_ = child.command.Wait() // its exit code says nothing about the measurement
			killer.Stop()
		})
	}
	ending.Wait()
	if f.engines != nil {
		f.engines.close()
	}
	if f.store != nil {
		f.store.Close()
	}
}
