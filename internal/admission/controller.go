package admission

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

// Options are what a Controller is made of.
type Options struct {
	// Members counts the daemons that divide the bound.
	Members func() int
	// Services names the services of models that are declared. A daemon tells of them from
	// its start on, also before it is asked: it counts among those who divide the bound.
	Services func() []string
	Now      func() time.Time
	Log      *zap.Logger
}

// Controller decides for one daemon. It is safe for concurrent use.
type Controller struct {
	options Options
	metrics metrics

	mutex    sync.Mutex
	services map[string]*service
	spent    map[load.Key]*decayed // by tenant, here
	fleet    spentByAll
}

// NewController makes a controller that knows nothing yet.
func NewController(options Options) *Controller {
	return &Controller{options: options, services: map[string]*service{}, spent: map[load.Key]*decayed{}}
}

// service is one service of models.
type service struct {
	name      string
	programs  programs
	room      Room // as last seen
	bound     Bound
	idle      idle
	ratio     float64 // of the first byte, as last heard
	claims    claims
	usualHeld mean // of the contexts here; claimed, since it swings less than they do
	picture   Picture
	part      float64 // when the picture came, for the whole bound
	// firstTold, steppedAt and loggedAt are when the figures were first told, the bound last
	// took a step, and the figures were last logged.
	firstTold, steppedAt, loggedAt time.Time

	asked     decayed // tokens of contexts that were asked for
	turns     decayed
	firstByte decayed // seconds
}

// service finds a service by its name, or begins to count it.
func (c *Controller) service(name string) *service {
	known, found := c.services[name]
	if !found {
		known = &service{name: name, programs: newPrograms()}
		c.services[name] = known
	}
	return known
}

// see takes in the engines as they are now. A daemon that told of itself before it knew any
// counts as having first told now: what it claimed before was no part of what they hold.
func (s *service) see(room Room, now time.Time) {
	if s.room.Engines == 0 && !s.firstTold.IsZero() {
		s.firstTold = now
	}
	s.room = room
}

// Begin decides whether a program may begin, and counts it in with its first turn; a program
// that is under way here goes on. Leave or Drop is to be called when the turn is over.
// Without an engine nothing is refused: that is placement's to tell.
func (c *Controller) Begin(request *Request) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	service := c.service(request.Service)
	service.see(request.Room, now)
	if _, underWay := service.programs.underWay[request.Program]; underWay {
		service.programs.enter(request, now)
		return nil
	}
	service.programs.sweep(now)
	asked := service.programs.expected(request)
	service.asked.add(float64(asked), now, askedFor)
	if refused := c.decide(service, request, asked, now); refused != nil {
		service.programs.refuse(request, now)
		c.metrics.refused(refused.Cause, request.Priority)
		return refused
	}
	service.programs.begin(request, now)
	service.programs.enter(request, now)
	return nil
}

// Continue counts a turn of a program that has begun, here or elsewhere.
func (c *Controller) Continue(request *Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	service := c.service(request.Service)
	service.see(request.Room, now)
	if _, underWay := service.programs.underWay[request.Program]; !underWay {
		service.programs.begin(request, now)
	}
	service.programs.enter(request, now)
}

// decide returns nil, or why the program may not begin; the lock is held.
func (c *Controller) decide(service *service, request *Request, asked int64, now time.Time) *RefusedError {
	if request.Room.Engines == 0 {
		return nil
	}
	claimant := Claimant{Priority: request.Priority, Share: c.fleet.of(request.Tenant), Late: service.programs.late(request, now)}
	bound := service.bound.Tokens(request.Room)
	reach, cause := Reach(claimant, service.fill(bound, now))
	part := service.partOf(bound*reach, c.options.Members(), now)
	held := service.programs.held(now)
	if float64(held+asked) <= part {
		return nil
	}
	wanted := perSecond(service.asked.value(now, askedFor), askedFor)
	return &RefusedError{
		Cause: cause, After: ComeBack(wanted, part, service.usualTime(request.Route), request.Random),
		Figures: Figures{
			Asked: asked, Held: held, Part: bounded(part), FleetHeld: service.picture.Held, Bound: bounded(bound),
			Daemons: service.picture.Daemons, PictureAge: service.picture.age(now), Share: claimant.Share,
		},
	}
}

// usualTime is how long programs of the route take; 0: not known.
func (s *service) usualTime(route string) time.Duration {
	return time.Duration(s.programs.usual(route).seconds.value * float64(time.Second))
}

// fill is how much of the bound is taken, as far as is known.
func (s *service) fill(bound float64, now time.Time) float64 {
	return float64(max(s.picture.Held, s.programs.held(now))) / max(bound, 1)
}

// partOf is this daemon's part of so many tokens.
func (s *service) partOf(bound float64, members int, now time.Time) float64 {
	return Part(Share{Bound: bound, Members: members, Picture: s.picture, Least: s.claims.least(now), Last: s.part, FirstTold: s.firstTold, Now: now})
}

// Leave counts a turn out. spent is what it cost the engine, in tokens.
func (c *Controller) Leave(request *Request, spent int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	c.service(request.Service).programs.leave(request.Program, now)
	if request.Tenant == "" || spent <= 0 {
		return
	}
	key := load.KeyOf(request.Tenant)
	if c.spent[key] == nil {
		c.spent[key] = &decayed{}
	}
	c.spent[key].add(float64(spent), now, spentFor)
}

// Drop counts a first turn out that no engine began to run: its program has not begun.
func (c *Controller) Drop(request *Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	programs := &c.service(request.Service).programs
	programs.leave(request.Program, c.options.Now())
	programs.drop(request.Program)
}

// Answered takes in how long a turn that went on from an earlier one took until its first byte.
func (c *Controller) Answered(service string, firstByte time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	known := c.service(service)
	known.turns.add(1, now, shownFor)
	known.firstByte.add(firstByte.Seconds(), now, shownFor)
}
