package softwareversion

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
)

// modelEngine is an engine in a model. It may serve for a while after its declaration is gone.
type modelEngine struct {
	version string
	joined  int // number of changes before it was declared
	left    time.Time
}

func (m *modelEngine) isDeclared() bool { return m.left.IsZero() }

// modelDaemon is a daemon in a model, with the engines that it received at its last look at the list.
type modelDaemon struct {
	*daemon
	known    []*modelEngine
	received int // number of changes before that look
	at       time.Time
}

// model plays daemons with lists of any age, engines of three versions that come and go, and a store
// that refuses calls at times. Daemons of an earlier build use engines without recording versions.
type model struct {
	random   *rand.Rand
	store    *memorystore.Store
	clock    *clock
	changes  int
	engines  []*modelEngine
	daemons  []*modelDaemon
	begun    []begunStream
	position string
	told     int // versions that Only has told
	refused  int // calls of Only without a version
}

type begunStream struct {
	at      time.Time
	version string
}

const (
	modelStreamAge   = 8 * time.Second
	servesAfterLeave = time.Minute // how long an engine may serve after its declaration is gone
	listsMayBeOld    = 5 * time.Minute
)

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), store: memorystore.New(), clock: &clock{now: time.Unix(100000, 0)}}
	for range 3 {
		m.daemons = append(m.daemons, m.newDaemon())
	}
	m.join()
	return m
}

func (m *model) newDaemon() *modelDaemon {
	d := &modelDaemon{daemon: newDaemon(m.store, m.clock)}
	d.options.Engines = func() (list []Engine) {
		for _, engine := range d.known {
			list = append(list, Engine{Service: service, Version: engine.version})
		}
		return list
	}
	d.options.ChangedEngines = func(context.Context) (list []Engine, err error) {
		for _, engine := range m.engines {
			if engine.isDeclared() && engine.joined >= d.received {
				list = append(list, Engine{Service: service, Version: engine.version})
			}
		}
		return list, nil
	}
	d.options.EnginesAge = func() (time.Duration, bool) { return m.clock.read().Sub(d.at), d.received > 0 }
	d.responsible = m.random.IntN(2) == 0
	return d
}

func (m *model) join() {
	version := fmt.Sprint("v", m.random.IntN(3))
	if m.random.IntN(4) > 0 && len(m.engines) > 0 {
		version = m.engines[len(m.engines)-1].version
	}
	m.engines = append(m.engines, &modelEngine{version: version, joined: m.changes})
	m.changes++
}

// leave ends the declaration of an engine whose version is recorded: engines are declared for longer
// than daemons that reach the store need to record them.
func (m *model) leave() {
	engine := m.engines[m.random.IntN(len(m.engines))]
	reader := newDaemon(m.store, m.clock)
	if engine.isDeclared() && reader.read(context.Background(), service) == nil && reader.IsRecorded(service, engine.version) {
		engine.left = m.clock.read()
		m.changes++
	}
}

func (m *model) receive(d *modelDaemon) {
	d.known = nil
	for _, engine := range m.engines {
		if engine.isDeclared() {
			d.known = append(d.known, engine)
		}
	}
	d.received, d.at = m.changes, m.clock.read()
}

// begin begins a stream at an engine that the daemon knows, however old its list is.
func (m *model) begin(d *modelDaemon) {
	for _, index := range m.random.Perm(len(d.known)) {
		engine := d.known[index]
		serves := engine.isDeclared() || m.clock.read().Sub(engine.left) < servesAfterLeave
		if serves && (d.IsRecorded(service, engine.version) || engine.isDeclared()) {
			m.begun = append(m.begun, begunStream{at: m.clock.read(), version: engine.version})
			return
		}
	}
}

// beginAtEarlierBuild begins a stream at any declared engine.
func (m *model) beginAtEarlierBuild() {
	engine := m.engines[m.random.IntN(len(m.engines))]
	if engine.isDeclared() {
		m.begun = append(m.begun, begunStream{at: m.clock.read(), version: engine.version})
	}
}

// ask checks what a daemon tells against all streams that are young enough.
func (m *model) ask(d *modelDaemon) {
	GinkgoHelper()
	version, err := d.Only(context.Background(), service, modelStreamAge)
	if err != nil {
		Expect(errors.Is(err, ErrSeveral) || errors.Is(err, ErrUncertain)).To(BeTrue(), err.Error())
		m.refused++
		return
	}
	m.told++
	for _, stream := range m.begun {
		if m.clock.read().Sub(stream.at) <= modelStreamAge {
			Expect(stream.version).To(Equal(version), "%s: a stream began at %s", m.position, stream.at)
		}
	}
}

func (m *model) step() {
	GinkgoHelper()
	d := m.daemons[m.random.IntN(len(m.daemons))]
	switch m.random.IntN(12) {
	case 0:
		m.join()
	case 1, 2:
		m.leave()
	case 3, 4:
		m.receive(d)
		_ = d.check(context.Background()) // fails while the store refuses
	case 5, 6:
		m.begin(d)
	case 7:
		m.beginAtEarlierBuild()
	case 8:
		m.clock.advance(time.Duration(m.random.Int64N(int64(3 * time.Second))))
	case 9:
		m.passLongTime(d)
	case 10:
		*d = *m.newDaemon()
	default:
		m.ask(d)
	}
}

// passLongTime lets some minutes pass. The daemons look at their lists meanwhile, except one.
func (m *model) passLongTime(except *modelDaemon) {
	if m.random.IntN(4) > 0 {
		return
	}
	m.clock.advance(time.Duration(m.random.Int64N(int64(listsMayBeOld))))
	for _, d := range m.daemons {
		if d != except {
			m.receive(d)
			_ = d.check(context.Background()) // fails while the store refuses
		}
	}
}

var _ = Describe("Only under random changes", func() {
	// Guards against a version that is told although a stream began at another one.
	It("never tells a version while a stream may have begun at another one", func() {
		const seeds, steps = 300, 400
		told, refused := 0, 0
		for seed := range uint64(seeds) {
			m := newModel(seed)
			for number := range steps {
				refuses := (number/40)%4 == 3
				m.store.SetFaultFunc(func(memorystore.Call) memorystore.Fault {
					if refuses {
						return memorystore.FaultRefused
					}
					return memorystore.FaultNone
				})
				m.position = fmt.Sprintf("seed %d, step %d", seed, number)
				m.step()
			}
			told, refused = told+m.told, refused+m.refused
		}
		GinkgoWriter.Printf("told %d, refused %d\n", told, refused)
		Expect(told).To(BeNumerically(">", seeds), "the model must also tell versions")
	})
})
