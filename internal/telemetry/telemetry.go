// Package telemetry creates the logger and the metrics registry of a daemon. Each
// log message is a short sentence with the fixed prefix of its component.
package telemetry

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log formats that NewLogger accepts.
const (
	formatJSON    = "json"
	formatConsole = "console"
)

// NewLogger returns a logger that writes one line per entry to output. The level is the
// lowest one that is logged, such as "debug", "info", "warn" or "error"; the format is
// "json" or "console". Another level or format is an error. The output need not be safe
// for concurrent use.
func NewLogger(level, format string, output io.Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "parse the log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	var encoder zapcore.Encoder
	switch format {
	case formatJSON:
		encoder = zapcore.NewJSONEncoder(encoding)
	case formatConsole:
		encoder = zapcore.NewConsoleEncoder(encoding)
	default:
		return nil, eris.Errorf("unknown log format %q", format)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(output)), minLevel)
	return zap.New(core), nil
}

// NewRegistry returns a metrics registry that contains the metrics of the process and
// the Go runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	return registry
}

// Handler returns an HTTP handler that serves the metrics of the registry. It answers
// status 503 if maxScrapes requests are already being served.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry, MaxRequestsInFlight: maxScrapes})
}

// maxScrapes is the maximum number of metrics requests served concurrently.
const maxScrapes = 4
