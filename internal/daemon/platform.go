package daemon

import (
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/platform"
	"github.com/thymeloft/thymeloft/internal/platform/client"
	"github.com/thymeloft/thymeloft/internal/settings"
)

const (
	platformTimeout            = 5 * time.Second
	maxIdlePlatformConnections = 4 // per host
	maxPlatformHeadBytes       = 64 << 10
)

// platformServices are the clients of the platform's services. A client is nil
// if the settings have no URL for its service.
type platformServices struct {
	machines platform.MachineList
	weights  platform.WeightStore
	http     *http.Client
}

func newPlatformServices(urls settings.Platform) *platformServices {
	services := &platformServices{http: &http.Client{
		Timeout: platformTimeout,
		Transport: answer.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdlePlatformConnections, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxPlatformHeadBytes,
		}),
	}}
	if urls.Machines != "" {
		services.machines = client.NewMachineList(urls.Machines, services.http)
	}
	if urls.Weights != "" {
		services.weights = client.NewWeightStore(urls.Weights, services.http)
	}
	return services
}

func (s *platformServices) close() { s.http.CloseIdleConnections() }
