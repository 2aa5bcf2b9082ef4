package server

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// metricsPath is the HTTP path of the metrics.
const metricsPath = "/metrics"

// serveReadiness starts to serve the platform's readiness checks, which continues
// until the context ends. It returns the address of the listener.
func (s *Server) serveReadiness(ctx context.Context) (address string, err error) {
	readiness := http.NewServeMux()
	readiness.Handle(s.ReadyPath, s.conditions())
	return s.serveEndpoint(ctx, "ready", s.Settings.Listen.Ready, readiness)
}

// serveMetrics starts to serve the metrics if the settings name an address for them.
// This continues until the context ends.
func (s *Server) serveMetrics(ctx context.Context) error {
	if s.Settings.Listen.Metrics == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle(metricsPath, telemetry.Handler(s.Registry))
	_, err := s.serveEndpoint(ctx, "metrics", s.Settings.Listen.Metrics, metrics)
	return err
}

// endpointLimits returns the limits of the listeners for the platform and operators.
func (s *Server) endpointLimits() process.EndpointLimits {
	return process.EndpointLimits{
		HeaderTimeout: 3 * time.Second, ReadTimeout: 3 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 16 << 10, MaxConnections: ingress.MaxEndpointConnections(s.Settings.MemoryMB),
	}
}

// serveEndpoint opens a listener at the address and starts to serve the handler,
// which continues until the context ends. It returns the address with the port that
// was selected. The name appears in logs and errors.
func (s *Server) serveEndpoint(ctx context.Context, name, address string, handler http.Handler) (string, error) {
	opened, err := process.Listen(process.EndpointOptions{
		Name: name, Address: address, Limits: s.endpointLimits(), Ingress: s.ingress, Log: s.Log,
	})
	if err != nil {
		return "", err
	}
	go func() {
		if err := opened.Serve(handler); err != nil {
			s.Log.Error("server: endpoint stopped serving.", zap.String("endpoint", name), zap.String("error", err.Error()))
		}
	}()
	context.AfterFunc(ctx, opened.Close)
	return opened.Address(), nil
}
