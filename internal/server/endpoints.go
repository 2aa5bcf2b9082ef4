package server

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// metricsPath is where the metrics listener answers.
const metricsPath = "/metrics"

// serveReadiness answers the platform's questions until the context ends; it returns where.
func (s *Server) serveReadiness(ctx context.Context) (address string, err error) {
	readiness := http.NewServeMux()
	readiness.Handle(s.ReadyPath, s.conditions())
	return s.serveEndpoint(ctx, "ready", s.Settings.Listen.Ready, readiness)
}

// serveMetrics answers on the address of the settings, if there is one, until the context ends.
func (s *Server) serveMetrics(ctx context.Context) error {
	if s.Settings.Listen.Metrics == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle(metricsPath, telemetry.Handler(s.Registry))
	_, err := s.serveEndpoint(ctx, "metrics", s.Settings.Listen.Metrics, metrics)
	return err
}

func (s *Server) serveEndpoint(ctx context.Context, name, address string, handler http.Handler) (string, error) {
	// headerTimeout ends connections of those that open one and ask nothing.
	const headerTimeout = 3 * time.Second
	opened, err := process.Listen(process.EndpointOptions{
		Name: name, Address: address, Limits: process.EndpointLimits{HeaderTimeout: headerTimeout}, Log: s.Log,
	})
	if err != nil {
		return "", err
	}
	go func() {
		if err := opened.Serve(handler); err != nil {
			s.Log.Error("server: endpoint is not served any more.", zap.String("endpoint", name), zap.String("error", err.Error()))
		}
	}()
	context.AfterFunc(ctx, opened.Close)
	return opened.Address(), nil
}
