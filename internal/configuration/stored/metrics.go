package stored

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// register registers the gauges of the service. A nil registry is ignored.
func (s *Service) register(registry prometheus.Registerer) error {
	if registry == nil {
		return nil
	}
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"thymeloft_configuration_revision", "Revision of the configuration in force here.", func() float64 { return float64(s.Current().Revision) }},
		{"thymeloft_configuration_confirmed", "1 if the revision in force was confirmed as the latest within confirm_bound, otherwise 0.", func() float64 {
			if s.IsConfirmed() {
				return 1
			}
			return 0
		}},
		{"thymeloft_configuration_confirmation_age_seconds", "Seconds since the store last reported the latest revision, or -1 if it has not done so yet.", func() float64 {
			age, found := s.storeAnswered.Age()
			if !found {
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
