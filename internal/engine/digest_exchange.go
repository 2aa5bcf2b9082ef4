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

// digestExchange exchanges digests with the other daemons of the region. Batches are not retried:
// every digest is sent again after DigestRefreshInterval.
type digestExchange struct {
	service *Service

	mutex                  sync.Mutex
	mesh                   mesh
	updated                map[*trackedEngine]bool // supervised engines with a new digest since the last tick
	sent                   map[*trackedEngine]sentDigest
	relay                  map[*trackedEngine]bool // engines whose digest, received along the row, is to be sent along the column; true: as a full record
	relayedLeavingMachines map[identity.Machine]LeavingMachines
	ownLeavingMachines     *LeavingMachines
	pendingFetches         map[string]bool // addresses to fetch full records from
	sending                map[string]bool // addresses to which a batch is being sent
	nextSendAt             time.Time       // no digests are sent before this time, to stay within DigestBytesPerSecond
}

func newDigestExchange(service *Service) *digestExchange {
	return &digestExchange{
		service: service, updated: map[*trackedEngine]bool{}, sent: map[*trackedEngine]sentDigest{}, relay: map[*trackedEngine]bool{},
		relayedLeavingMachines: map[identity.Machine]LeavingMachines{}, pendingFetches: map[string]bool{}, sending: map[string]bool{},
	}
}

// setMesh replaces the daemons to which digests are sent, and forgets the digests sent for
// engines that are no longer tracked.
func (e *digestExchange) setMesh(next mesh) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.mesh = next
	table := e.service.table.Load()
	maps.DeleteFunc(e.sent, func(tracked *trackedEngine, _ sentDigest) bool { return table.byName[tracked.declared.Name] != tracked })
}

// publish marks an engine supervised by this daemon as having a new digest.
func (e *digestExchange) publish(tracked *trackedEngine) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.updated[tracked] = true
}

// publishLeavingMachines sends this daemon's list of leaving machines with the next tick.
func (e *digestExchange) publishLeavingMachines(update LeavingMachines) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ownLeavingMachines = &update
}

func (e *digestExchange) loop(ctx context.Context) {
	ticker := time.NewTicker(e.service.settings.DigestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.tick(ctx, time.Now())
		}
	}
}

// tick sends this daemon's new digests along the row and the column, and the digests received
// along the row to the column. After a tick, digests are held back until the sent bytes fit
// DigestBytesPerSecond; meanwhile newer digests replace older ones. Lists of leaving machines are
// not held back. It also starts the pending fetches.
func (e *digestExchange) tick(ctx context.Context, now time.Time) {
	e.mutex.Lock()
	row, column := e.leavingMachineBatches()
	if !now.Before(e.nextSendAt) {
		e.appendOwn(&row, now)
		column.Payload = slices.Clone(row.Payload)
		e.appendRelayed(&column)
	}
	targets := e.mesh
	sent := len(targets.row)*(len(row.Payload)+callOverheadBytes) + len(targets.column)*(len(column.Payload)+callOverheadBytes)
	if len(column.Payload) > 0 {
		e.nextSendAt = now.Add(time.Duration(float64(sent) / e.service.settings.DigestBytesPerSecond * float64(time.Second)))
	}
	fetches := slices.Collect(maps.Keys(e.pendingFetches))
	clear(e.pendingFetches)
	e.mutex.Unlock()
	for _, process := range targets.row {
		e.send(ctx, process.Address, row)
	}
	for _, process := range targets.column {
		e.send(ctx, process.Address, column)
	}
	for _, address := range fetches[:min(len(fetches), maxFetches)] {
		e.service.running.Go(func() { e.fetchFrom(ctx, address) })
	}
}

// appendOwn adds the digests of supervised engines that have a new digest since the last tick.
// It leaves out a digest that did not change significantly and was last sent less than
// DigestRefreshInterval ago.
func (e *digestExchange) appendOwn(batch *DigestBatch, now time.Time) {
	for tracked := range e.updated {
		current := tracked.report.Load()
		lastSent, sentBefore := e.sent[tracked]
		if sentBefore && !isSignificantChange(current, lastSent.report) && now.Sub(lastSent.sentAt) < e.service.settings.DigestRefreshInterval {
			continue
		}
		full := !sentBefore || current.checksum != lastSent.report.checksum || now.Sub(lastSent.fullSentAt) >= fullRecordInterval
		batch.Payload = appendRecord(batch.Payload, &current.digest, current.checksum, full)
		e.service.metrics.digestsSent.Inc()
		lastSent.report, lastSent.sentAt = current, now
		if full {
			lastSent.fullSentAt = now
		}
		e.sent[tracked] = lastSent
	}
	clear(e.updated)
}

// appendRelayed adds the digests received along the row.
func (e *digestExchange) appendRelayed(batch *DigestBatch) {
	for tracked, full := range e.relay {
		latest := tracked.report.Load()
		batch.Payload = appendRecord(batch.Payload, &latest.digest, latest.checksum, full)
	}
	clear(e.relay)
}

// leavingMachineBatches returns one batch for the row and one for the column, with the lists of
// leaving machines to send and no digests yet.
func (e *digestExchange) leavingMachineBatches() (row, column DigestBatch) {
	row = DigestBatch{Sender: e.service.self.Address, Relay: true}
	column = DigestBatch{Sender: e.service.self.Address}
	if e.ownLeavingMachines != nil {
		row.Departures = []LeavingMachines{*e.ownLeavingMachines}
		column.Departures = []LeavingMachines{*e.ownLeavingMachines}
		e.ownLeavingMachines = nil
	}
	for _, update := range e.relayedLeavingMachines {
		column.Departures = append(column.Departures, update)
	}
	clear(e.relayedLeavingMachines)
	return row, column
}

const (
	minChangeShare    = 0.1 // significant change as a share of MaxRunning, or of the waiting tokens last sent
	minCacheUseChange = 13  // significant change in units of 1/cacheUseSteps of the cache; about a twentieth
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

// send starts sending a batch to the address. It drops the batch if it is empty or the previous
// one is still being sent.
func (e *digestExchange) send(ctx context.Context, address string, batch DigestBatch) {
	if len(batch.Payload) == 0 && len(batch.Departures) == 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.sending[address] {
		return
	}
	e.sending[address] = true
	e.service.running.Go(func() {
		e.call(ctx, address, batch)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.sending, address)
	})
}

func (e *digestExchange) call(ctx context.Context, address string, batch DigestBatch) {
	ctx, cancel := context.WithTimeout(ctx, e.service.settings.CallTimeout)
	defer cancel()
	var reply DigestReply
	err := e.service.options.PeerClient.Call(ctx, address, peer.ClassControl, methodDigests, &batch, &reply)
	if err != nil {
		e.service.metrics.digestErrors.Inc()
		e.service.logger.Debug("engine: sending digests failed.", zap.Error(err))
		return
	}
	e.service.metrics.digestBytes.WithLabelValues(labelSent).Add(float64(len(batch.Payload)))
}
