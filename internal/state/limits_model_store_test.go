package state

import "time"

// mayWrite asks the daemon's view of the store's room. Without limits there is none.
func (m *model) mayWrite(call *modelCall) bool {
	room := call.daemon.room
	if _, full := room.FullSince(); !full || m.way == wayNone || call.class == ClassLease {
		return true
	}
	if call.class == ClassTurn && call.tries == 0 || room.Probe() {
		return true
	}
	if call.class == ClassTurn {
		m.after(modelTick, func() { m.try(call) })
	}
	return false
}

// again tries a call once more after the pause of state.Client.Repeat.
func (m *model) again(call *modelCall) {
	call.tries++
	for _, each := range call.along {
		m.again(each)
	}
	call.along = nil
	if m.way == wayRetryBudget && !call.daemon.budget.take() {
		return
	}
	wait := min(firstRetry<<min(call.tries, 3), longestRetry)
	m.after(wait/2+time.Duration(m.random.Int64N(int64(wait))), func() { m.try(call) })
}

// send is one call on the wire.
func (m *model) send(call *modelCall) {
	m.all++
	sent, outside := m.now, !m.inCause()
	if outside {
		m.calls++
	}
	switch {
	case m.inCause() && m.fault.silent:
		m.after(modelSilence, func() { m.unanswered(call) })
	case !m.takes(call):
		if outside {
			m.throttled++
		}
		m.after(modelAnswer, func() { m.refusedForRate(call) })
	case m.inCause() && m.fault.full && call.kind == CallCommit:
		m.after(modelAnswer, func() { m.refusedForRoom(call) })
	default:
		m.after(modelAnswer+max(m.parts[call.part]-m.now, 0), func() { m.answered(call, sent) })
	}
}

// takes tells whether the store's rates let it take the call.
func (m *model) takes(call *modelCall) bool {
	if m.tokens[call.kind] < 1 {
		return false
	}
	m.tokens[call.kind]--
	if call.kind != CallCommit {
		return true
	}
	if m.parts[call.part]-m.now > modelPartWait {
		return false
	}
	taken := time.Second / modelPartRate
	if len(call.along) > 0 {
		taken *= 2 // over several partitions
	}
	m.parts[call.part] = max(m.parts[call.part], m.now) + taken
	return true
}

func (m *model) answered(call *modelCall, sent time.Duration) {
	if call.kind == CallCommit {
		call.daemon.room.written(100, time.Unix(1000, 0).Add(sent))
	}
	for _, each := range call.along {
		m.answered(each, sent)
	}
	call.along = nil
	if call.done || m.now > call.deadline {
		return
	}
	call.done = true
	m.served[int(call.arrived/time.Second)]++
}

func (m *model) refusedForRate(call *modelCall) {
	line := call.daemon.reads
	if call.kind == CallCommit {
		line = call.daemon.writes
	}
	line.pace.refused(m.time())
	m.again(call)
}

// refusedForRoom is, without limits, an error like others, and is tried again.
func (m *model) refusedForRoom(call *modelCall) {
	if m.way == wayNone {
		m.again(call)
		return
	}
	call.tries++
	for _, each := range call.along {
		each.tries++
		m.try(each)
	}
	call.along = nil
	call.daemon.room.refused(100)
	if call.class == ClassTurn {
		m.try(call)
	}
}

// unanswered has the daemon believe that the store is down, and probe it.
func (m *model) unanswered(call *modelCall) {
	if !call.daemon.down {
		call.daemon.down = true
		m.probe(call.daemon)
	}
	m.again(call)
}

func (m *model) probe(daemon *modelDaemon) {
	m.after(probePause, func() {
		if m.inCause() && m.fault.silent {
			m.probe(daemon)
			return
		}
		daemon.down = false
		daemon.writes.pace.restart(m.time())
		daemon.reads.pace.restart(m.time())
		waiting := daemon.waiting
		daemon.waiting = nil
		for _, call := range waiting {
			m.try(call)
		}
	})
}
