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
	maxFetches     = 4 // maximum number of daemons to fetch from in one tick of the digest exchange
	startupFetches = 2 // number of daemons to fetch from when an engine has no report yet
)

// DigestBatch carries digests and lists of leaving machines from one daemon to another.
type DigestBatch struct {
	Sender     string // peer address from which the receiver may fetch full records
	Relay      bool   // the receiver passes the content on along its column
	Payload    []byte // encoded digests
	Departures []LeavingMachines
}

// DigestReply acknowledges a batch.
type DigestReply struct{}

// FetchArguments requests all digests that a daemon knows.
type FetchArguments struct{}

// fetchFromPeers fetches all digests from a few randomly chosen daemons, so that this daemon
// does not have to wait for the next batches after a start or when engines are declared.
func (e *digestExchange) fetchFromPeers(ctx context.Context) {
	e.mutex.Lock()
	others := slices.Concat(e.mesh.row, e.mesh.column)
	e.mutex.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, process := range others[:min(len(others), startupFetches)] {
		e.service.running.Go(func() { e.fetchFrom(ctx, process.Address) })
	}
}

// fetchFrom fetches all digests of the daemon at the address as full records.
func (e *digestExchange) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, e.service.settings.CallTimeout)
	defer cancel()
	var reply DigestBatch
	err := e.service.options.PeerClient.Call(ctx, address, peer.ClassData, methodFetch, &FetchArguments{}, &reply)
	if err == nil {
		err = e.receive(&reply)
	}
	if err != nil {
		e.service.metrics.digestErrors.Inc()
		e.service.logger.Debug("engine: fetching digests failed.", zap.Error(err))
	}
}

// receive accepts the digests and lists of leaving machines of a batch that are newer than the
// known ones. It returns errMalformedBatch, and accepts nothing, if the batch is too large or
// malformed.
func (e *digestExchange) receive(batch *DigestBatch) error {
	if len(batch.Payload) > maxBatchBytes {
		return eris.Wrapf(errMalformedBatch, "batch of %d bytes is too large", len(batch.Payload))
	}
	records, err := decodeRecords(batch.Payload)
	if err != nil {
		return err
	}
	e.service.metrics.digestBytes.WithLabelValues(labelReceived).Add(float64(len(batch.Payload)))
	now := time.Now()
	table := e.service.table.Load()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	urgent := len(batch.Departures) > 0
	for index := range records {
		urgent = e.receiveRecord(table, &records[index], batch, now) || urgent
	}
	for _, update := range batch.Departures {
		if e.service.leavingMachines.merge(update) && batch.Relay {
			e.relayedLeavingMachines[update.Reader] = update
		}
	}
	e.service.handleReceivedDigests(urgent)
	return nil
}

// receiveRecord accepts one record and returns true if it is the first report of its engine. A
// record of an undeclared engine is ignored. A record that cannot be completed causes a fetch
// from the sender. The caller must hold e.mutex.
func (e *digestExchange) receiveRecord(table *engineTable, read *record, batch *DigestBatch, now time.Time) bool {
	tracked, declared := table.byHash[read.Hash]
	if !declared {
		return false // the sender's configuration is older or newer
	}
	previous := tracked.report.Load()
	if !read.complete(tracked.declared.Name, previous) {
		e.pendingFetches[batch.Sender] = true
		return false
	}
	e.service.digestTimes.record(read.Digest.Fence, now)
	accepted := tracked.accept(read.Digest, read.Checksum, now)
	if accepted && batch.Relay {
		e.relay[tracked] = e.relay[tracked] || read.Full
	}
	return accepted && previous == nil
}

// freshDigests returns full records of all digests received at most DigestRefreshInterval and
// one DigestInterval ago.
func (e *digestExchange) freshDigests(now time.Time) DigestBatch {
	batch := DigestBatch{Sender: e.service.self.Address}
	freshFor := e.service.settings.DigestRefreshInterval + e.service.settings.DigestInterval
	for _, tracked := range e.service.table.Load().engines {
		latest := tracked.report.Load()
		if latest != nil && now.Sub(latest.received) <= freshFor {
			batch.Payload = appendRecord(batch.Payload, &latest.digest, latest.checksum, true)
		}
	}
	return batch
}

// DigestReceiver serves the RPCs of other daemons with net/rpc.
type DigestReceiver struct{ service *Service }

// Digests accepts a batch, or returns an error and accepts nothing if it is malformed.
func (r *DigestReceiver) Digests(batch *DigestBatch, _ *DigestReply) error {
	return r.service.exchange.receive(batch)
}

// Fetch returns all fresh digests known to this daemon.
func (r *DigestReceiver) Fetch(_ *FetchArguments, reply *DigestBatch) error {
	*reply = r.service.exchange.freshDigests(time.Now())
	return nil
}
