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
	kindTool       = "tool"
	engineEventLag = 50 * time.Millisecond
	engineEventGap = 17
	machineListLag = time.Second
	storeBurst     = 20
	weightBytes    = 1 << 30
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// Options say how to start a fleet.
type Options struct {
	Daemon    string   // path of the daemon's binary
	Directory string   // for logs; empty: a temporary one that Close removes
	Arguments []string // further arguments of every daemon
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Network    *network.Network
	Daemons    []*Daemon
	Engines    []*Engine
	Replicas   []*Replica
	Platform   Platform
	HTTP       *http.Client // for requests to the daemons

	closers   []func()
	temporary string

	mutex   sync.Mutex
	leaving map[string]bool // machines listed as leaving
}

// Start starts all parts and waits until the configuration is in force at
// every daemon. Close ends it.
func Start(ctx context.Context, deployment Deployment, options Options) (*Fleet, error) {
	deployment = deployment.withDefaults()
	fleet := &Fleet{
		Deployment: deployment,
		Network:    network.New(network.Options{BetweenZones: deployment.DelayBetweenZones, ToClients: deployment.DelayToClients}),
		leaving:    map[string]bool{},
		HTTP:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if options.Directory == "" {
		directory, err := os.MkdirTemp("", "thymeloft-lab-")
		if err != nil {
			return nil, eris.Wrap(err, "make a directory for logs")
		}
		fleet.temporary = directory
		options.Directory = directory
	}
	for _, start := range []func() error{
		fleet.startEngines,
		fleet.startServices,
		func() error { return fleet.placeDaemons(options) },
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

func (f *Fleet) placeDaemons(options Options) error {
	for number := range len(f.Deployment.Zones) * f.Deployment.DaemonsPerZone {
		daemon, err := newDaemon(number, f.Deployment.spread(number), options.Daemon, options.Directory, f.Network)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, daemon)
	}
	return nil
}

func (f *Fleet) startDaemons(further []string) error {
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
		daemon.arguments = append(append(daemon.arguments, common...), further...)
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Daemon finds a daemon by name.
func (f *Fleet) Daemon(name string) *Daemon {
	for _, daemon := range f.Daemons {
		if daemon.Name == name {
			return daemon
		}
	}
	return nil
}

// Close ends every process by its identifier, and all stand-ins.
func (f *Fleet) Close() {
	for _, daemon := range f.Daemons {
		daemon.end()
	}
	f.HTTP.CloseIdleConnections()
	f.Network.Close()
	for _, closer := range f.closers {
		closer()
	}
	if f.temporary != "" {
		_ = os.RemoveAll(f.temporary)
	}
}

// until repeats the attempt until it returns nil or the context ends.
func until(ctx context.Context, attempt func() error) error {
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
