package daemon

import (
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// Paths of the metrics listener.
const (
	pathLive    = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// healthHandler serves liveness, readiness and metrics.
func healthHandler(registry *prometheus.Registry, conditions process.Conditions) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, telemetry.Handler(registry))
	mux.HandleFunc(pathLive, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, "live")
	})
	mux.Handle(pathReady, conditions)
	return mux
}
