package stored

// HeadKey is the key of the row that names the latest revision.
var HeadKey = headKey

// RaiseLatestKnown calls raiseLatestKnown.
func RaiseLatestKnown(s *Service, revision uint64) { s.raiseLatestKnown(revision) }

// LatestKnown returns the latest revision that the service knows of.
func LatestKnown(s *Service) uint64 { return s.latestKnown.Load() }
