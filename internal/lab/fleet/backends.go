package fleet

import (
	"net/http"
	"strings"

	platformv1 "github.com/thymeloft/thymeloft/api/platform/v1"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/machinelist"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/network"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/lab/toolservice"
	"github.com/thymeloft/thymeloft/internal/lab/weightstore"
)

// Engine is a simulated model engine of a fleet.
type Engine struct {
	*modelengine.Engine
	Name       string
	Model      string
	Zone       string
	Generation string
	URL        string
}

// Replica is a simulated replica of an application service or tool.
type Replica struct {
	*appservice.Service
	Name        string // unique in the fleet
	ServiceName string // name of the service
	Zone        string
	URL         string
}

// Platform has the stand-ins for the platform's services.
type Platform struct {
	Store    *platformstore.StandIn
	Machines *machinelist.List
	urls     map[string]string // by daemon flag; that of the store is an address ("ip:port")
}

// serve starts a server for the handler in the zone and returns the URL at which
// the network forwards to it.
func (f *Fleet) serve(handler http.Handler, zone string) (string, error) {
	server, err := standin.Start("127.0.0.1:0", handler)
	if err != nil {
		return "", err
	}
	f.closers = append(f.closers, server.Close)
	link, err := f.Network.NewLink("127.0.0.1:0", server.Address, zone)
	if err != nil {
		return "", err
	}
	return link.URL(), nil
}

func (f *Fleet) startEngines() error {
	for _, model := range f.Deployment.Models {
		for number := range model.Engines {
			if err := f.startEngine(model, number); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEngine starts the engine with this number, counted from 0 for each model.
func (f *Fleet) startEngine(model Model, number int) error {
	engine := &Engine{
		Name:       replicaName(model.Name, number),
		Model:      model.Name,
		Zone:       f.Deployment.zoneOf(number),
		Generation: modelengine.GenerationNew,
	}
	if number < model.Old {
		engine.Generation = modelengine.GenerationOld
	}
	engine.Engine = modelengine.New(modelengine.Options{
		Name:              engine.Name,
		Generation:        engine.Generation,
		Model:             model.Name,
		Version:           modelVersion,
		Adapters:          model.Adapters,
		TimeScale:         f.Deployment.TimeScale,
		CacheTokens:       model.CacheTokens,
		EventLag:          engineEventLag,
		DropEventInterval: engineEventGap,
	})
	f.closers = append(f.closers, engine.Close)
	url, err := f.serve(engine.Engine, engine.Zone)
	engine.URL = url
	f.Engines = append(f.Engines, engine)
	return err
}

func (f *Fleet) startServices() error {
	for _, service := range f.Deployment.Services {
		for number := range service.Replicas {
			replica := &Replica{Name: replicaName(service.Name, number), ServiceName: service.Name, Zone: f.Deployment.zoneOf(number)}
			replica.Service = newService(service, replica.Name)
			url, err := f.serve(replica.Service, replica.Zone)
			if err != nil {
				return err
			}
			replica.URL = url
			f.Replicas = append(f.Replicas, replica)
		}
	}
	return nil
}

func newService(service Service, name string) *appservice.Service {
	if service.Kind == kindTool {
		return toolservice.New(toolservice.Options{Name: name, Delay: service.Delay}).Service
	}
	return appservice.New(appservice.Options{Name: name, Delay: service.Delay})
}

func (f *Fleet) startPlatform() error {
	perSecond := f.Deployment.StoresPerSecond
	f.Platform = Platform{
		Store:    platformstore.New(platformstore.Options{RequestsPerSecond: perSecond, Burst: storeBurstRequests}),
		Machines: machinelist.New(machinelist.Options{Lag: machineListLag, Machines: f.machines()}),
		urls:     map[string]string{},
	}
	weights := weightstore.New(weightstore.Options{DefaultBytes: weightBytes})
	for flag, handler := range map[string]http.Handler{
		flagStore:             f.Platform.Store,
		"--platform-machines": f.Platform.Machines,
		"--platform-weights":  weights,
	} {
		url, err := f.serve(handler, network.ZoneClients)
		if err != nil {
			return err
		}
		f.Platform.urls[flag] = url
	}
	f.Platform.urls[flagStore] = strings.TrimPrefix(f.Platform.urls[flagStore], "http://")
	return nil
}

const flagStore = "--platform-store"

// machines returns the platform's list of machines: all daemons, engines and
// replicas.
func (f *Fleet) machines() []platformv1.Machine {
	var result []platformv1.Machine
	add := func(name, kind, address, zone string) {
		state := "live"
		if f.leaving[name] {
			state = "leaving"
		}
		result = append(result, platformv1.Machine{Name: name, Kind: kind, Address: address, Zone: zone, State: state})
	}
	for _, daemon := range f.Daemons {
		add(daemon.Name, "daemon", daemon.peerLink.Address, daemon.Zone)
	}
	for _, engine := range f.Engines {
		add(engine.Name, "engine", engine.URL, engine.Zone)
	}
	for _, replica := range f.Replicas {
		add(replica.Name, "service", replica.URL, replica.Zone)
	}
	return result
}

// MarkLeaving lists the machine as leaving, in addition to those marked before.
// Daemons see the change after machineListLag. Safe for concurrent use.
func (f *Fleet) MarkLeaving(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving[name] = true
	f.Platform.Machines.Set(f.machines())
}
