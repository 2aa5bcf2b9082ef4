package load

import "errors"

// sum adds up what daemons told.
type sum struct {
	underWay Counts
	speeds   Speeds
}

func newSum() *sum { return &sum{underWay: Counts{}, speeds: Speeds{}} }

// add adds what was told; it fails for what cannot be read.
func (s *sum) add(told Told) error {
	return errors.Join(s.underWay.add(told.UnderWay), s.speeds.add(told.Speeds))
}

// told is the sum as it is told on, with the programs' own sum.
func (s *sum) told(programs []byte) Told {
	return Told{UnderWay: s.underWay.encode(), Speeds: s.speeds.encode(), Programs: programs}
}
