package load

import "errors"

// sum holds the requests in flight and the work of engines, summed over daemons.
type sum struct {
	underWay Counts
	speeds   EngineWork
}

func newSum() *sum { return &sum{underWay: Counts{}, speeds: EngineWork{}} }

// add adds the counts and speeds of stats. It returns an error if they can't be decoded.
func (s *sum) add(stats EncodedStats) error {
	return errors.Join(s.underWay.addEncoded(stats.UnderWay), s.speeds.addEncoded(stats.Speeds))
}

// encode returns the sum, encoded, together with the encoded program statistics.
func (s *sum) encode(programs []byte) EncodedStats {
	return EncodedStats{UnderWay: s.underWay.encode(), Speeds: s.speeds.encode(), Programs: programs}
}
