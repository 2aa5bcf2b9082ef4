package stored

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// register adds gauges that read the service when they are collected.
func (s *Service) register(registry prometheus.Registerer) error {
	if registry == nil {
		return nil
	}
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"thymeloft_configuration_revision", "Revision of the configuration in force here.", func() float64 { return float64(s.Current().Revision) }},
		{"thymeloft_configuration_confirmed", "Whether the revision is confirmed within the bound.", func() float64 {
			if s.Confirmed() {
				return 1
			}
			return 0
		}},
		{"thymeloft_configuration_confirmation_age_seconds", "Time since the store last told of the latest revision; -1: never.", func() float64 {
			age, heard := s.age()
			if !heard {
				return -1
			}
			return age.Seconds()
		}},
	}
	for _, gauge := range gauges {
		collector := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value)
		if err := registry.Register(collector); err != nil {
			return eris.Wrapf(err, "register %s", gauge.name)
		}
	}
	return nil
}
