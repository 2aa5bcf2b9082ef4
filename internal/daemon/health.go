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
	livenessPath  = "/healthz"
	readinessPath = "/readyz"
	metricsPath   = "/metrics"
)

// healthHandler returns the handler of the metrics listener. It serves the
// metrics of the registry, a liveness check that always succeeds, and a
// readiness check that succeeds while all conditions hold.
func healthHandler(registry *prometheus.Registry, conditions process.Conditions) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, telemetry.Handler(registry))
	mux.HandleFunc(livenessPath, func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(writer, "live")
	})
	mux.Handle(readinessPath, conditions)
	return mux
}
