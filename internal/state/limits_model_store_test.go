package state

import "time"

// maySendWrite returns whether the daemon's Room lets it send a write, and may take a probe for
// it. It schedules another attempt of a turn commit that has to wait. Without limits every
// write may be sent.
func (m *model) maySendWrite(call *modelCall) bool {
	room := call.daemon.room
	if _, full := room.FullSince(); !full || m.strategy == strategyNone || call.class == ClassLease {
		return true
	}
	if call.class == ClassTurn && call.attempts == 0 || room.AllowWrite() {
		return true
	}
	if call.class == ClassTurn {
		m.schedule(modelTick, func() { m.attempt(call) })
	}
	return false
}

// retry schedules another attempt of the call, and of the calls batched with it, after the
// delay of Client.Repeat. With strategyRetryBudget, it drops the call if the budget has no
// token.
func (m *model) retry(call *modelCall) {
	call.attempts++
	for _, batchedCall := range call.batched {
		m.retry(batchedCall)
	}
	call.batched = nil
	if m.strategy == strategyRetryBudget && !call.daemon.budget.take() {
		return
	}
	wait := min(initialRetryDelay<<min(call.attempts, 3), maxRetryDelay)
	m.schedule(wait/2+time.Duration(m.random.Int64N(int64(wait))), func() { m.attempt(call) })
}

// send sends a call to the store and schedules its result.
func (m *model) send(call *modelCall) {
	m.totalCalls++
	sent, isOutsideFault := m.now, !m.isFaultActive()
	if isOutsideFault {
		m.callsOutsideFault++
	}
	switch {
	case m.isFaultActive() && m.fault.silent:
		m.schedule(modelCallTimeout, func() { m.recordTimeout(call) })
	case !m.acceptCall(call):
		if isOutsideFault {
			m.throttledOutsideFault++
		}
		m.schedule(modelAnswerTime, func() { m.recordThrottled(call) })
	case m.isFaultActive() && m.fault.full && call.kind == CallCommit:
		m.schedule(modelAnswerTime, func() { m.recordFull(call) })
	default:
		m.schedule(modelAnswerTime+max(m.partitionBusyUntil[call.partition]-m.now, 0), func() { m.recordAnswer(call, sent) })
	}
}

// acceptCall counts the call against the store's rate limits. It returns false if the call
// exceeds them.
func (m *model) acceptCall(call *modelCall) bool {
	if m.tokens[call.kind] < 1 {
		return false
	}
	m.tokens[call.kind]--
	if call.kind != CallCommit {
		return true
	}
	if m.partitionBusyUntil[call.partition]-m.now > modelMaxPartitionWait {
		return false
	}
	busyTime := time.Second / modelPartitionRate
	if len(call.batched) > 0 {
		busyTime *= 2 // a commit in several partitions costs twice as much
	}
	m.partitionBusyUntil[call.partition] = max(m.partitionBusyUntil[call.partition], m.now) + busyTime
	return true
}

// recordAnswer counts the call, and the calls batched with it, as served if they are within
// their deadlines.
func (m *model) recordAnswer(call *modelCall, sent time.Duration) {
	if call.kind == CallCommit {
		call.daemon.room.recordWrite(100, time.Unix(1000, 0).Add(sent))
	}
	for _, batchedCall := range call.batched {
		m.recordAnswer(batchedCall, sent)
	}
	call.batched = nil
	if call.done || m.now > call.deadline {
		return
	}
	call.done = true
	m.served[int(call.arrived/time.Second)]++
}

// recordThrottled lowers the daemon's rate and retries the call.
func (m *model) recordThrottled(call *modelCall) {
	queue := call.daemon.reads
	if call.kind == CallCommit {
		queue = call.daemon.writes
	}
	queue.bucket.recordThrottled(m.currentTime())
	m.retry(call)
}

// recordFull handles a write that the store refused because it is full. Without limits it is
// retried like any other failed call.
func (m *model) recordFull(call *modelCall) {
	if m.strategy == strategyNone {
		m.retry(call)
		return
	}
	call.attempts++
	for _, batchedCall := range call.batched {
		batchedCall.attempts++
		m.attempt(batchedCall)
	}
	call.batched = nil
	call.daemon.room.recordRefusal(100)
	if call.class == ClassTurn {
		m.attempt(call)
	}
}

// recordTimeout makes the daemon consider the store down and probe it, and retries the call.
func (m *model) recordTimeout(call *modelCall) {
	if !call.daemon.believesDown {
		call.daemon.believesDown = true
		m.probe(call.daemon)
	}
	m.retry(call)
}

// probe schedules probes of the store until one succeeds, and then resumes the daemon's waiting
// calls.
func (m *model) probe(daemon *modelDaemon) {
	m.schedule(probeInterval, func() {
		if m.isFaultActive() && m.fault.silent {
			m.probe(daemon)
			return
		}
		daemon.believesDown = false
		daemon.writes.bucket.restart(m.currentTime())
		daemon.reads.bucket.restart(m.currentTime())
		waiting := daemon.waiting
		daemon.waiting = nil
		for _, call := range waiting {
			m.attempt(call)
		}
	})
}
