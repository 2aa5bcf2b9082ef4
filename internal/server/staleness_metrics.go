package server

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// unconfirmedAge is the value of the age metrics before the store's first answer.
const unconfirmedAge = -1

// registerStalenessMetrics registers gauges of the configuration in force and of the time since
// the store last confirmed what this daemon follows.
func (s *Server) registerStalenessMetrics() error {
	register := func(name, help string, value func() float64) error {
		return s.Registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	return errors.Join(
		register("thymeloft_configuration_revision", "Revision of the configuration in force; 0: none.", s.configurationRevision),
		register("thymeloft_configuration_confirmation_age_seconds", "Seconds since the store last answered about the configuration, or -1 if it has not done so yet.",
			ageSeconds(func() (time.Duration, bool) { return s.routes.View().Age() })),
		register("thymeloft_engines_confirmation_age_seconds", "Seconds since the store last answered about the engines, or -1 if it has not done so yet.",
			ageSeconds(s.lastInstancesAnswer.Age)),
	)
}

// ageSeconds returns a function that returns the age of an answer in seconds, or unconfirmedAge
// before the first answer.
func ageSeconds(ageOfAnswer func() (age time.Duration, answered bool)) func() float64 {
	return func() float64 {
		age, found := ageOfAnswer()
		if !found {
			return unconfirmedAge
		}
		return age.Seconds()
	}
}

func (s *Server) configurationRevision() float64 {
	table := s.routes.Current()
	if table == nil {
		return 0
	}
	return float64(table.Revision)
}
