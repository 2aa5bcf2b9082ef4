package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	rpcName       = "Engine"
	methodDigests = rpcName + ".Digests"
	methodFetch   = rpcName + ".Fetch"

	maxBatchBytes  = 4 << 20
	maxFetches     = 4 // maximum daemons to fetch from in one tick of the spreader
	startupFetches = 2 // daemons to fetch from when an engine has no report yet
)

// DigestBatch carries digests and departures from one daemon to another.
type DigestBatch struct {
	Sender     string // peer address from which the receiver may fetch full records
	Relay      bool   // the receiver passes the content on along its column
	Payload    []byte // encoded digests
	Departures []Departures
}

// DigestReply acknowledges a batch.
type DigestReply struct{}

// FetchArguments requests all digests that a daemon knows.
type FetchArguments struct{}

// fetchFromPeers fetches all digests from a few randomly chosen daemons, so that this daemon
// does not have to wait for the next batches after a start or when engines are declared.
func (s *spreader) fetchFromPeers(ctx context.Context) {
	s.mutex.Lock()
	others := slices.Concat(s.mesh.row, s.mesh.column)
	s.mutex.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, process := range others[:min(len(others), startupFetches)] {
		s.service.running.Go(func() { s.fetchFrom(ctx, process.Address) })
	}
}

// fetchFrom fetches all digests of the daemon at the address as full records.
func (s *spreader) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, s.service.settings.PollTimeout)
	defer cancel()
	var reply DigestBatch
	err := s.service.options.Caller.Call(ctx, address, peer.Data, methodFetch, &FetchArguments{}, &reply)
	if err == nil {
		err = s.receive(&reply)
	}
	if err != nil {
		s.service.metrics.digestErrors.Inc()
		s.service.logger.Debug("engine: fetching digests failed.", zap.Error(err))
	}
}

// receive accepts the digests and departures of a batch that are newer than the known ones. It
// returns errMalformedBatch, and accepts nothing, if the batch is too large or malformed.
func (s *spreader) receive(batch *DigestBatch) error {
	if len(batch.Payload) > maxBatchBytes {
		return eris.Wrapf(errMalformedBatch, "%d bytes", len(batch.Payload))
	}
	records, err := decodeRecords(batch.Payload)
	if err != nil {
		return err
	}
	s.service.metrics.digestBytes.WithLabelValues(labelReceived).Add(float64(len(batch.Payload)))
	now := time.Now()
	fleet := s.service.fleet.Load()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	urgent := len(batch.Departures) > 0
	for index := range records {
		urgent = s.receiveRecord(fleet, &records[index], batch, now) || urgent
	}
	for _, update := range batch.Departures {
		if s.service.departures.merge(update) && batch.Relay {
			s.relayedDepartures[update.Reader] = update
		}
	}
	s.service.digestsReceived(urgent)
	return nil
}

// receiveRecord accepts one record and returns true if it is the first report of its engine. A
// short record that cannot be completed causes a fetch from the sender. The caller must hold
// s.mutex.
func (s *spreader) receiveRecord(fleet *engineTable, read *record, batch *DigestBatch, now time.Time) bool {
	tracked, declared := fleet.byHash[read.Hash]
	if !declared {
		return false // the sender's configuration is older or newer
	}
	former := tracked.report.Load()
	if !read.complete(tracked.declared.Name, former) {
		s.pendingFetches[batch.Sender] = true
		return false
	}
	s.service.digestTimes.record(read.Digest.Fence, now)
	accepted := tracked.accept(read.Digest, read.Checksum, now)
	if accepted && batch.Relay {
		s.relay[tracked] = s.relay[tracked] || read.Full
	}
	return accepted && former == nil
}

// freshDigests returns full records of all digests received within the last refresh and spread
// intervals.
func (s *spreader) freshDigests(now time.Time) DigestBatch {
	batch := DigestBatch{Sender: s.service.self.Address}
	freshFor := s.service.settings.RefreshInterval + s.service.settings.SpreadInterval
	for _, tracked := range s.service.fleet.Load().engines {
		latest := tracked.report.Load()
		if latest != nil && now.Sub(latest.received) <= freshFor {
			batch.Payload = appendRecord(batch.Payload, &latest.digest, latest.checksum, true)
		}
	}
	return batch
}

// Receiver serves the RPCs of other daemons with net/rpc.
type Receiver struct{ service *Service }

// Digests accepts a batch, or returns an error and accepts nothing if it is malformed.
func (r *Receiver) Digests(batch *DigestBatch, _ *DigestReply) error {
	return r.service.spread.receive(batch)
}

// Fetch returns all fresh digests known to this daemon.
func (r *Receiver) Fetch(_ *FetchArguments, reply *DigestBatch) error {
	*reply = r.service.spread.freshDigests(time.Now())
	return nil
}
