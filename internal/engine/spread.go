package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	// fullRecordInterval is the time after which a digest is sent as a full record even if its
	// static fields did not change.
	fullRecordInterval = 30 * time.Second
	// callOverheadBytes estimates the bytes that net/rpc adds to a batch and its reply: two
	// headers with the method's name, lengths and the empty reply.
	callOverheadBytes = 90
)

// sentDigest is the last report of a supervised engine that was sent to other daemons.
type sentDigest struct {
	report     *report
	sentAt     time.Time
	fullSentAt time.Time
}

// spreader exchanges digests with the other daemons of the region. Batches are not retried:
// every digest is sent again after RefreshInterval.
type spreader struct {
	service *Service

	mutex             sync.Mutex
	mesh              mesh
	updated           map[*trackedEngine]bool // supervised engines with a new digest since the last tick
	sent              map[*trackedEngine]sentDigest
	relay             map[*trackedEngine]bool // engines whose digest, received along the row, is to be sent along the column; true: as a full record
	relayedDepartures map[identity.Machine]Departures
	ownDepartures     *Departures
	pendingFetches    map[string]bool // addresses to fetch full records from
	sending           map[string]bool // addresses to which a batch is being sent
	nextSendAt        time.Time       // digests are held back until this time to keep SpreadBytesPerSecond
}

func newSpreader(service *Service) *spreader {
	return &spreader{
		service: service, updated: map[*trackedEngine]bool{}, sent: map[*trackedEngine]sentDigest{}, relay: map[*trackedEngine]bool{},
		relayedDepartures: map[identity.Machine]Departures{}, pendingFetches: map[string]bool{}, sending: map[string]bool{},
	}
}

// setMesh replaces the daemons to which digests are sent, and forgets the digests sent for
// engines that are no longer tracked.
func (s *spreader) setMesh(next mesh) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mesh = next
	fleet := s.service.fleet.Load()
	maps.DeleteFunc(s.sent, func(tracked *trackedEngine, _ sentDigest) bool { return fleet.byName[tracked.declared.Name] != tracked })
}

// publish marks an engine supervised by this daemon as having a new digest.
func (s *spreader) publish(tracked *trackedEngine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.updated[tracked] = true
}

// publishDepartures sends this daemon's list of leaving machines with the next tick.
func (s *spreader) publishDepartures(update Departures) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ownDepartures = &update
}

func (s *spreader) loop(ctx context.Context) {
	ticker := time.NewTicker(s.service.settings.SpreadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx, time.Now())
		}
	}
}

// tick sends this daemon's new digests along the row and the column, and the digests received
// along the row to the column. After a tick, digests are held back until the sent bytes fit
// SpreadBytesPerSecond; meanwhile newer digests replace older ones. Departures are not held
// back. It also starts the pending fetches.
func (s *spreader) tick(ctx context.Context, now time.Time) {
	s.mutex.Lock()
	row, column := s.departureBatches()
	if !now.Before(s.nextSendAt) {
		s.appendOwn(&row, now)
		column.Payload = slices.Clone(row.Payload)
		s.appendRelayed(&column)
	}
	targets := s.mesh
	sent := len(targets.row)*(len(row.Payload)+callOverheadBytes) + len(targets.column)*(len(column.Payload)+callOverheadBytes)
	if len(column.Payload) > 0 {
		s.nextSendAt = now.Add(time.Duration(float64(sent) / s.service.settings.SpreadBytesPerSecond * float64(time.Second)))
	}
	fetches := slices.Collect(maps.Keys(s.pendingFetches))
	clear(s.pendingFetches)
	s.mutex.Unlock()
	for _, process := range targets.row {
		s.send(ctx, process.Address, row)
	}
	for _, process := range targets.column {
		s.send(ctx, process.Address, column)
	}
	for _, address := range fetches[:min(len(fetches), maxFetches)] {
		s.service.running.Go(func() { s.fetchFrom(ctx, address) })
	}
}

// appendOwn adds the digests of supervised engines that changed significantly since they were
// last sent, or that were last sent at least RefreshInterval ago.
func (s *spreader) appendOwn(batch *DigestBatch, now time.Time) {
	for tracked := range s.updated {
		current := tracked.report.Load()
		lastSent, sentBefore := s.sent[tracked]
		if sentBefore && !isSignificantChange(current, lastSent.report) && now.Sub(lastSent.sentAt) < s.service.settings.RefreshInterval {
			continue
		}
		full := !sentBefore || current.checksum != lastSent.report.checksum || now.Sub(lastSent.fullSentAt) >= fullRecordInterval
		batch.Payload = appendRecord(batch.Payload, &current.digest, current.checksum, full)
		s.service.metrics.digestsSent.Inc()
		lastSent.report, lastSent.sentAt = current, now
		if full {
			lastSent.fullSentAt = now
		}
		s.sent[tracked] = lastSent
	}
	clear(s.updated)
}

// appendRelayed adds the digests received along the row.
func (s *spreader) appendRelayed(batch *DigestBatch) {
	for tracked, full := range s.relay {
		latest := tracked.report.Load()
		batch.Payload = appendRecord(batch.Payload, &latest.digest, latest.checksum, full)
	}
	clear(s.relay)
}

// departureBatches returns one batch for the row and one for the column, with the departures to
// send and no digests yet.
func (s *spreader) departureBatches() (row, column DigestBatch) {
	row = DigestBatch{Sender: s.service.self.Address, Relay: true}
	column = DigestBatch{Sender: s.service.self.Address}
	if s.ownDepartures != nil {
		row.Departures = []Departures{*s.ownDepartures}
		column.Departures = []Departures{*s.ownDepartures}
		s.ownDepartures = nil
	}
	for _, update := range s.relayedDepartures {
		column.Departures = append(column.Departures, update)
	}
	clear(s.relayedDepartures)
	return row, column
}

const (
	minChangeShare    = 0.1 // share of MaxRunning, or of the waiting tokens last sent
	minCacheUseChange = 13  // in units of 1/cacheUseSteps; about a twentieth of the cache
)

// isSignificantChange returns true if the current report differs enough from the one last sent
// to change a scheduling decision.
func isSignificantChange(current, sent *report) bool {
	after, before := &current.digest, &sent.digest
	if current.checksum != sent.checksum || after.Serving != before.Serving || after.Loading != before.Loading {
		return true
	}
	if (after.Waiting == 0) != (before.Waiting == 0) {
		return true
	}
	sequences := max(1, int(minChangeShare*float64(after.MaxRunning)))
	tokens := max(waitingTokenUnit, int64(minChangeShare*float64(before.WaitingTokens)))
	return absDifference(after.Running, before.Running) >= sequences ||
		absDifference(after.Waiting, before.Waiting) >= sequences ||
		absDifference(after.WaitingTokens, before.WaitingTokens) >= tokens ||
		absDifference(int(encodedCacheUse(after)), int(encodedCacheUse(before))) >= minCacheUseChange
}

func absDifference[T int | int64](a, b T) T { return max(a-b, b-a) }

// send starts sending a batch to the address, unless the batch is empty or the previous one is
// still being sent.
func (s *spreader) send(ctx context.Context, address string, batch DigestBatch) {
	if len(batch.Payload) == 0 && len(batch.Departures) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sending[address] {
		return
	}
	s.sending[address] = true
	s.service.running.Go(func() {
		s.call(ctx, address, batch)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.sending, address)
	})
}

func (s *spreader) call(ctx context.Context, address string, batch DigestBatch) {
	ctx, cancel := context.WithTimeout(ctx, s.service.settings.PollTimeout)
	defer cancel()
	var reply DigestReply
	err := s.service.options.Caller.Call(ctx, address, peer.Control, methodDigests, &batch, &reply)
	if err != nil {
		s.service.metrics.digestErrors.Inc()
		s.service.logger.Debug("engine: sending digests failed.", zap.Error(err))
		return
	}
	s.service.metrics.digestBytes.WithLabelValues(labelSent).Add(float64(len(batch.Payload)))
}
