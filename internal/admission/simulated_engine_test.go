package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// simEngine keeps contexts until others push them out, reads one prompt after another, and
// makes tokens for simSlots at once.
type simEngine struct {
	contexts *simplelru.LRU[string, int]
	used     int
	readFree time.Duration
	running  int
	waiting  []*simProgram
}

func (s *simulation) queue(p *simProgram) {
	p.queuedAt = s.now
	if len(p.engine.waiting) >= simQueue {
		s.in(simTick, func() { s.queue(p) }) // turned away; it asks again
		return
	}
	p.engine.waiting = append(p.engine.waiting, p)
	s.run(p.engine)
}

// run begins turns while there are slots.
func (s *simulation) run(engine *simEngine) {
	for engine.running < simSlots && len(engine.waiting) > 0 {
		p := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if s.now-p.queuedAt > simPatient {
			s.leave(p, 0)
			continue
		}
		missing := engine.keep(p)
		engine.running++
		engine.readFree = max(engine.readFree, s.now) + time.Duration(float64(missing)/simReading*float64(time.Second))
		first := engine.readFree + simFirst - s.now
		waited := s.now - p.queuedAt
		s.in(first, func() {
			if !p.first {
				s.daemons[p.daemon].Answered(simService, waited+first)
			}
		})
		s.in(first+simMaking, func() { s.turnEnds(p, missing) })
	}
}

// keep puts the program's context into the memory, and tells how much of it had to be read.
func (e *simEngine) keep(p *simProgram) int {
	missing := p.kind.brings
	had, kept := e.contexts.Get(p.name)
	if !kept {
		missing += p.context
	}
	p.context += p.kind.brings + p.kind.makes
	e.used += p.context - had
	e.contexts.Add(p.name, p.context)
	for e.used > simMemory {
		_, gone, _ := e.contexts.RemoveOldest()
		e.used -= gone
	}
	return missing
}

type simEvent struct {
	at   time.Duration
	then func()
}
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(event any)    { *e = append(*e, event.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
