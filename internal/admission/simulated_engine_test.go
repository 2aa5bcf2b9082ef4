package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// simEngine retains contexts until others evict them. It processes one prompt after another and
// decodes for up to simSlots turns at once.
type simEngine struct {
	contexts      *simplelru.LRU[string, int]
	used          int
	prefillFreeAt time.Duration
	running       int
	waiting       []*simProgram
}

func (s *simulation) enqueue(p *simProgram) {
	p.queuedAt = s.now
	if len(p.engine.waiting) >= simQueueLength {
		s.after(simReportInterval, func() { s.enqueue(p) }) // the queue is full; try again later
		return
	}
	p.engine.waiting = append(p.engine.waiting, p)
	s.run(p.engine)
}

// run starts waiting turns while there are free slots.
func (s *simulation) run(engine *simEngine) {
	for engine.running < simSlots && len(engine.waiting) > 0 {
		p := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if s.now-p.queuedAt > simMaxWait {
			s.leave(p, 0)
			continue
		}
		prefillTokens := engine.load(p)
		engine.running++
		engine.prefillFreeAt = max(engine.prefillFreeAt, s.now) + time.Duration(float64(prefillTokens)/simPrefillTokensPerSecond*float64(time.Second))
		firstByte := engine.prefillFreeAt + simFirstTokenTime - s.now
		queueTime := s.now - p.queuedAt
		s.after(firstByte, func() {
			if !p.firstTurn {
				s.daemons[p.daemon].RecordFirstByte(simService, queueTime+firstByte)
			}
		})
		s.after(firstByte+simDecodeTime, func() { s.endTurn(p, prefillTokens) })
	}
}

// load puts the program's context into memory and returns how many tokens have to be prefilled.
func (e *simEngine) load(p *simProgram) int {
	prefillTokens := p.kind.promptTokens
	had, found := e.contexts.Get(p.name)
	if !found {
		prefillTokens += p.context
	}
	p.context += p.kind.promptTokens + p.kind.outputTokens
	e.used += p.context - had
	e.contexts.Add(p.name, p.context)
	for e.used > simMemory {
		_, evicted, _ := e.contexts.RemoveOldest()
		e.used -= evicted
	}
	return prefillTokens
}

type simEvent struct {
	at  time.Duration
	run func()
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
