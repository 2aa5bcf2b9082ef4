// Package load provides every daemon with the sums of all daemons' statistics: the requests in
// flight and the speed of each engine, and the programs in progress. Every daemon sends its own
// statistics to an aggregator of its group, and the reply holds the sums over all daemons
// (ReportReply). A group is a zone, or the whole region if the region has at most
// maxReportersPerAggregator daemons. A group's aggregators are a few of its larger machines,
// selected by hash. Each sends the sums over the reports that it received (Share) to all other
// aggregators of the region.
//
// There are no guarantees: the sums are hints. While no call fails, their age is at most
// 2*reportInterval + exchangeInterval + sumTTL plus the network delays. A daemon that reaches no
// aggregator receives no sums.
//
// Each daemon sends about one report per reportInterval, and receives one reply to each, however
// large the fleet is. A group has one aggregator for every maxReportersPerAggregator daemons,
// rounded up.
package load

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ServiceName is the name of the RPC service by which daemons call an aggregator.
const ServiceName = "Load"

const (
	methodReport = ServiceName + ".Report"
	methodShare  = ServiceName + ".Share"
)

// Intervals and timeouts. The intervals of reports and shares are about as long as a turn (100 ms):
// with longer ones, daemons would send bursts of requests to engines that have filled up meanwhile.
// With 295 daemons and 153 engines under twice the usual load, loads 885 ms old instead of 148 ms
// lowered the weighted share of requests that were served in time from 0.83 to 0.68.
const (
	reportInterval   = 100 * time.Millisecond
	exchangeInterval = 100 * time.Millisecond
	// idleCheckInterval is how often a daemon that is not an aggregator checks whether others
	// report to it.
	idleCheckInterval = 300 * time.Millisecond
	// callTimeout bounds one call to an aggregator.
	callTimeout = 150 * time.Millisecond
	// skipDuration is how long an aggregator is skipped after a call to it failed. Another one
	// replaces it meanwhile.
	skipDuration = time.Second
	// reportTTL is how long a daemon's last report is included in the sums.
	reportTTL = 4 * reportInterval
	// shareTTL is how long an aggregator's last share is included in the sums.
	shareTTL = 4 * exchangeInterval
)

// Digest is the 4-byte digest of an identifier (of an engine, a service or a tenant), sent in its
// place. If the digests of two identifiers collide, each gets the sum of both: among 3,400 engines
// the probability of any collision is about 0.1 %.
type Digest uint32

// DigestOf returns the low 32 bits of the identifier's xxHash.
func DigestOf(identifier string) Digest { return Digest(xxhash.Sum64String(identifier)) } //nolint:gosec // the low bits are meant

// Counts are the numbers of requests in flight, by engine. Engines without requests are left out.
type Counts map[Digest]int

// EncodedStats is the encoded statistics of one daemon, or the sums over several daemons.
type EncodedStats struct {
	UnderWay []byte // Counts, encoded
	Speeds   []byte // EngineWork, encoded
	Programs []byte // ProgramStats, encoded; empty if the sender has none
}

// ReportRequest is a daemon's report to its aggregator.
type ReportRequest struct {
	Member string
	Told   EncodedStats
}

// ReportReply is an aggregator's reply to a report.
type ReportReply struct {
	All EncodedStats
	// Own is the reporting daemon's part of All. It may be the daemon's previous report, because
	// the sums are cached for sumTTL.
	Own EncodedStats
	// Outside is how long ago the aggregator last reached another group.
	Outside OutsideContact
}

// OutsideContact is the time since a daemon of another group was last reached.
type OutsideContact struct {
	// Heard is false if the aggregator has reached no other group since it became an aggregator.
	// Lasted has no meaning then.
	Heard  bool
	Lasted time.Duration
	// Contact identifies the contact: two replies of an aggregator with the same number tell of the
	// same one. It is 0 if the aggregator does not number its contacts.
	Contact int64
}

// Share holds the sums over the reports to one aggregator, which it sends to the other aggregators.
type Share struct {
	Aggregator string
	Told       EncodedStats
}

// ShareReply is empty: the aggregator that is called sends its own sums in a call of its own.
type ShareReply struct{}

const digestBytes = 4

// encode writes each engine's digest, followed by its count as a varint.
func (c Counts) encode() []byte {
	encoded := make([]byte, 0, len(c)*(digestBytes+1))
	for key, count := range c {
		encoded = binary.LittleEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.AppendUvarint(encoded, uint64(max(count, 0)))
	}
	return encoded
}

// addEncoded adds encoded counts to c. If it returns an error, the entries before the invalid one
// have been added.
func (c Counts) addEncoded(encoded []byte) error {
	for len(encoded) > 0 {
		if len(encoded) <= digestBytes {
			return eris.Errorf("load: truncated count entry of %d bytes", len(encoded))
		}
		key := Digest(binary.LittleEndian.Uint32(encoded))
		count, length := binary.Uvarint(encoded[digestBytes:])
		if length <= 0 || count > maxCount {
			return eris.Errorf("load: invalid count of engine %08x", uint32(key))
		}
		c[key] += int(count)
		encoded = encoded[digestBytes+length:]
	}
	return nil
}

// maxCount is the largest count that is accepted. It is far above what one engine can have in
// flight at the target load of 22,000 requests a second for the whole fleet.
const maxCount = 1 << 20

// validateStats returns an error if the statistics can't be decoded.
func validateStats(stats EncodedStats) error {
	return errors.Join(newSum().add(stats), newPrograms().addEncoded(stats.Programs))
}
