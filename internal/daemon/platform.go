package daemon

import (
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/platform"
	"github.com/thymeloft/thymeloft/internal/platform/client"
	"github.com/thymeloft/thymeloft/internal/settings"
)

const (
	platformTimeout     = 5 * time.Second
	platformConnections = 4 // kept for each service
)

// platformServices are the clients of the platform. One that has no URL in
// the settings is nil: the daemon goes on without it.
type platformServices struct {
	machines platform.Machines
	weights  platform.Weights
	http     *http.Client
}

func newPlatform(urls settings.Platform) *platformServices {
	services := &platformServices{http: &http.Client{
		Timeout:   platformTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: platformConnections, IdleConnTimeout: time.Minute},
	}}
	if urls.Machines != "" {
		services.machines = client.NewMachines(urls.Machines, services.http)
	}
	if urls.Weights != "" {
		services.weights = client.NewWeights(urls.Weights, services.http)
	}
	return services
}

func (s *platformServices) close() { s.http.CloseIdleConnections() }
