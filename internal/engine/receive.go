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

	maxBatchBytes = 4 << 20
	maxFetches    = 4 // at once, after a change of members
	askedAtOnce   = 2 // when engines were not heard of yet
)

// DigestBatch carries digests from one daemon of a region to another.
type DigestBatch struct {
	Sender     string // peer address: whom to ask for what a short record left out
	Relay      bool   // the receiver passes it on along its column
	Payload    []byte
	Departures []Departures
}

// DigestReply confirms a batch.
type DigestReply struct{}

// FetchArguments asks for all digests that a daemon knows.
type FetchArguments struct{}

// ask fetches from some daemons at once: after a start, or when engines were
// declared, this daemon may lead programs before the next digests come.
func (s *spreader) ask(ctx context.Context) {
	s.mutex.Lock()
	others := slices.Concat(s.mesh.row, s.mesh.column)
	s.mutex.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, process := range others[:min(len(others), askedAtOnce)] {
		s.service.running.Go(func() { s.fetchFrom(ctx, process.Address) })
	}
}

// fetchFrom asks a daemon for all that it knows, whole.
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
		s.service.logger.Debug("engine: digests were not fetched.", zap.Error(err))
	}
}

// receive takes what is newer than known.
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
		urgent = s.receiveOne(fleet, &records[index], batch, now) || urgent
	}
	for _, news := range batch.Departures {
		if s.service.leaving.take(news) && batch.Relay {
			s.departures[news.Reader] = news
		}
	}
	s.service.reported(urgent)
	return nil
}

// receiveOne says whether it was the first that is heard of the engine.
func (s *spreader) receiveOne(fleet *table, read *record, batch *DigestBatch, now time.Time) bool {
	member, declared := fleet.byHash[read.Hash]
	if !declared {
		return false // The configuration here is older or newer than the sender's.
	}
	former := member.report.Load()
	if !read.complete(member.declared.Name, former) {
		s.fetch[batch.Sender] = true
		return false
	}
	s.service.hearing.note(read.Digest.Fence, now)
	accepted := member.accept(read.Digest, read.Check, now)
	if accepted && batch.Relay {
		s.passOn[member] = s.passOn[member] || read.Full
	}
	return accepted && former == nil
}

// all gives every fresh digest, whole.
func (s *spreader) all(now time.Time) DigestBatch {
	batch := DigestBatch{Sender: s.service.self.Address}
	freshFor := s.service.settings.RefreshInterval + s.service.settings.SpreadInterval
	for _, member := range s.service.fleet.Load().units {
		latest := member.report.Load()
		if latest != nil && now.Sub(latest.received) <= freshFor {
			batch.Payload = appendRecord(batch.Payload, &latest.digest, latest.check, true)
		}
	}
	return batch
}

// Receiver answers the calls of other daemons, by net/rpc's rules.
type Receiver struct{ service *Service }

// Digests takes a batch; a malformed one is refused whole.
func (r *Receiver) Digests(batch *DigestBatch, _ *DigestReply) error {
	return r.service.spread.receive(batch)
}

// Fetch gives all digests that are fresh here.
func (r *Receiver) Fetch(_ *FetchArguments, reply *DigestBatch) error {
	*reply = r.service.spread.all(time.Now())
	return nil
}
