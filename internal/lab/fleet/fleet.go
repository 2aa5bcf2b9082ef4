package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/network"
)

const (
	kindTool           = "tool"
	engineEventLag     = 50 * time.Millisecond
	engineEventGap     = 17 // every 17th cache event of an engine is not delivered
	machineListLag     = time.Second
	storeBurstRequests = 20      // requests that may exceed the store's rate limit at once
	weightBytes        = 1 << 30 // size of the weights of every model
	pollInterval       = 50 * time.Millisecond
	requestTimeout     = 10 * time.Second
)

// Options configure the processes of a fleet.
type Options struct {
	DaemonBinary string   // path of the daemon binary
	Directory    string   // for the logs of the daemons; if empty, a temporary one that Close removes
	Arguments    []string // appended to the arguments of every daemon
}

// Fleet is a running deployment. Its exported fields must not be changed.
type Fleet struct {
	Deployment Deployment
	Network    *network.Network
	Daemons    []*Daemon
	Engines    []*Engine
	Replicas   []*Replica // of application services and tools
	Platform   Platform
	HTTP       *http.Client // for requests to the daemons

	closers            []func()
	temporaryDirectory string // for logs; "" if Options.Directory is set

	mutex   sync.Mutex
	leaving map[string]bool // names of the machines that are listed as leaving
}

// Start starts all parts of the deployment, applies its configuration and waits
// until every daemon is ready, for at most startTimeout. The caller must close
// the fleet. After an error nothing is left running.
func Start(ctx context.Context, deployment Deployment, options Options) (*Fleet, error) {
	deployment = deployment.withDefaults()
	fleet := &Fleet{
		Deployment: deployment,
		Network:    network.New(network.Options{ZoneDelay: deployment.DelayBetweenZones, ClientDelay: deployment.DelayToClients}),
		leaving:    map[string]bool{},
		HTTP:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if options.Directory == "" {
		directory, err := os.MkdirTemp("", "thymeloft-lab-")
		if err != nil {
			return nil, eris.Wrap(err, "create the log directory")
		}
		fleet.temporaryDirectory = directory
		options.Directory = directory
	}
	for _, start := range []func() error{
		fleet.startEngines,
		fleet.startServices,
		func() error { return fleet.createDaemons(options) },
		fleet.startPlatform,
		func() error { return fleet.startDaemons(options.Arguments) },
		func() error { return fleet.configure(ctx) },
	} {
		if err := start(); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

func (f *Fleet) createDaemons(options Options) error {
	for number := range len(f.Deployment.Zones) * f.Deployment.DaemonsPerZone {
		daemon, err := newDaemon(number, f.Deployment.zoneOf(number), options.DaemonBinary, options.Directory, f.Network)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, daemon)
	}
	return nil
}

func (f *Fleet) startDaemons(extraArguments []string) error {
	common := []string{
		"--region=" + f.Deployment.Region,
		"--operator-key-hashes=" + keyHash(operatorKey),
		fmt.Sprintf("--shards=%d", f.Deployment.Shards),
		fmt.Sprintf("--bootstrap-expect=%d", len(f.Daemons)),
	}
	for flag, url := range f.Platform.urls {
		common = append(common, flag+"="+url)
	}
	for _, daemon := range f.Daemons {
		daemon.arguments = append(append(daemon.arguments, common...), extraArguments...)
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Daemon returns the daemon with this name, or nil.
func (f *Fleet) Daemon(name string) *Daemon {
	for _, daemon := range f.Daemons {
		if daemon.Name == name {
			return daemon
		}
	}
	return nil
}

// Close kills the daemons and stops all stand-ins. It must be called once.
func (f *Fleet) Close() {
	for _, daemon := range f.Daemons {
		daemon.killIfRunning()
	}
	f.HTTP.CloseIdleConnections()
	f.Network.Close()
	for _, closer := range f.closers {
		closer()
	}
	if f.temporaryDirectory != "" {
		_ = os.RemoveAll(f.temporaryDirectory)
	}
}

// retry calls attempt every pollInterval until it returns nil. If ctx ends first,
// it returns the last error of attempt.
func retry(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
