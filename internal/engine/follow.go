package engine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// followFleet keeps the table of units and the supervisors in step with
// configuration and the list of members.
func (s *Service) followFleet(ctx context.Context) {
	configured := s.options.Configuration.Subscribe()
	listed := s.options.Directory.Subscribe()
	ticker := time.NewTicker(s.settings.PollInterval)
	defer ticker.Stop()
	for {
		s.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-configured:
		case <-listed:
		case <-ticker.C:
		}
	}
}

// followed is what the table and the supervisors were last brought in step with.
type followed struct {
	revision *configuration.Snapshot
	version  uint64 // of the view of the members
	daemons  []identity.Process
	table    *table
	heard    []identity.Process // daemons less those that are silent
}

// look takes over what changed. Many views differ in members of other regions,
// which concern no engine.
func (s *Service) look(ctx context.Context) {
	current := s.options.Configuration.Current()
	view := s.options.Directory.View()
	if current != s.followed.revision || view.Version != s.followed.version {
		moved := s.learnRegions(view)
		living := supervisors(view, s.self)
		if current != s.followed.revision || moved || !slices.Equal(living, s.followed.daemons) {
			s.adopt(current, living)
		}
		s.askUnheard(ctx)
		s.followed.revision, s.followed.version, s.followed.daemons = current, view.Version, living
	}
	s.share(ctx)
}

// share brings the supervisors in step with the fleet and with who is heard.
func (s *Service) share(ctx context.Context) {
	current := s.fleet.Load()
	heard := s.passOver(s.followed.daemons, current.units, time.Now())
	if current == s.followed.table && slices.Equal(heard, s.followed.heard) {
		return
	}
	if passedOver := len(s.followed.daemons) - len(heard); passedOver > 0 {
		s.logger.Warn("engine: supervisors are not heard and passed over.",
			zap.Int("passedOver", passedOver), zap.Int("heard", len(heard)), zap.Duration("silence", s.settings.silence()))
	}
	s.followed.table, s.followed.heard = current, heard
	s.supervise(ctx, current, heard)
}

// learnRegions notes the zones' regions, and says whether any is new.
func (s *Service) learnRegions(view *members.View) bool {
	moved := false
	learn := func(process identity.Process) {
		region, known := s.regions[process.Zone]
		moved = moved || !known || region != process.Region
		s.regions[process.Zone] = process.Region
	}
	for _, member := range view.Members {
		learn(member.Process)
	}
	learn(s.self)
	return moved
}

// adopt takes over a revision of the configuration and the region's daemons.
func (s *Service) adopt(current *configuration.Snapshot, daemons []identity.Process) {
	next := s.nextTable(&current.Document)
	s.fleet.Store(next)
	s.wanted.Store(newWantedPools(current, s.settings.ParallelLoads))
	s.daemons.Store(int64(max(1, len(daemons))))
	s.spread.follow(newMesh(s.self, daemons))
	s.leaving.follow(daemons)
	s.touch()
}

// askUnheard asks others when engines are declared that nothing was heard of.
func (s *Service) askUnheard(ctx context.Context) {
	unheard := func(member *unit) bool { return member.report.Load() == nil }
	if slices.ContainsFunc(s.fleet.Load().units, unheard) {
		s.spread.ask(ctx)
	}
}

// nextTable keeps the units whose declaration stayed the same.
func (s *Service) nextTable(document *configuration.Document) *table {
	former := s.fleet.Load()
	next := &table{byName: map[string]*unit{}, byHash: map[uint64]*unit{}}
	for _, declared := range document.Engines {
		kept, found := former.byName[declared.Name]
		if !found || kept.declared != declared {
			kept = s.newUnit(declared)
		}
		next.byName[declared.Name] = kept
		region, known := s.regions[declared.Zone]
		if !known || region == s.self.Region {
			next.units = append(next.units, kept)
			next.byHash[nameHash(declared.Name)] = kept
		}
	}
	slices.SortFunc(next.units, func(a, b *unit) int { return cmp.Compare(a.declared.Name, b.declared.Name) })
	next.index = make(map[string]int, len(next.units))
	for index, member := range next.units {
		next.index[member.declared.Name] = index
	}
	return next
}

func (s *Service) newUnit(declared configuration.Engine) *unit {
	return &unit{
		declared: declared,
		place:    hostPort(declared.Address),
		since:    time.Now(),
		client: client{
			http: s.options.HTTP, name: declared.Name, address: declared.Address, timeout: s.settings.PollTimeout,
		},
		health:   newHealth(),
		releases: newReleaseQueue(s.settings.ReleaseQueue),
	}
}

// supervise starts and stops supervisors so that this daemon supervises
// exactly the engines that fall to it.
func (s *Service) supervise(ctx context.Context, next *table, daemons []identity.Process) {
	wanted := map[string]*unit{}
	candidates := newCandidates(daemons)
	for _, candidate := range next.units {
		process, found := candidates.owner(candidate.declared.Name)
		if found && process == s.self {
			wanted[candidate.declared.Name] = candidate
		}
	}
	for name, current := range maps.Clone(s.supervisors) {
		if wanted[name] != current.unit {
			current.stop()
			delete(s.supervisors, name)
		}
	}
	for name, candidate := range wanted {
		if _, found := s.supervisors[name]; !found {
			s.startSupervisor(ctx, candidate)
		}
	}
	s.metrics.owned.Set(float64(len(wanted)))
}

// startSupervisor runs a supervisor until its engine falls to another daemon.
func (s *Service) startSupervisor(ctx context.Context, candidate *unit) {
	ctx, stop := context.WithCancel(ctx)
	s.supervisors[candidate.declared.Name] = supervision{unit: candidate, stop: stop}
	supervisor := newSupervisor(s, candidate)
	s.running.Go(func() { supervisor.run(ctx) })
}
