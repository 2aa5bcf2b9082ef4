package execution_test

import (
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// fakeLog is an in-memory replica group. Each command that the leader proposes is
// applied immediately to all replicas that are not isolated.
type fakeLog struct {
	mutex    sync.Mutex
	index    uint64
	term     uint64
	leader   identity.Process
	replicas []*fakeGroups
	commands []program.Command
	// fault is called before each command. It returns the error that Propose is
	// to return, and whether the command is applied despite the error.
	fault func(program.Command) (err error, applied bool)
}

// fakeGroups is the replica of the group on one daemon.
type fakeGroups struct {
	log        *fakeLog
	self       identity.Process
	machine    shards.StateMachine
	changes    chan shards.LeaderChange
	handedOver bool
	isolated   bool // partitioned from the other replicas, but not aware of it
}

var _ shards.Groups = (*fakeGroups)(nil)

func (l *fakeLog) join(self identity.Process) *fakeGroups {
	replica := &fakeGroups{log: l, self: self, changes: make(chan shards.LeaderChange, 16)}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replicas = append(l.replicas, replica)
	return replica
}

// setLeader makes the daemon the leader. The previous leader is notified unless it is
// isolated.
func (l *fakeLog) setLeader(next *fakeGroups) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, replica := range l.replicas {
		if replica.self == l.leader && !replica.isolated {
			replica.changes <- shards.LeaderChange{Shard: shard, Term: shards.Term(l.term)}
		}
	}
	l.term++
	l.leader = next.self
	next.changes <- shards.LeaderChange{Shard: shard, Term: shards.Term(l.term), Leading: true}
}

func (l *fakeLog) setFault(fault func(program.Command) (error, bool)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
}

// count returns the number of committed commands of a kind.
func (l *fakeLog) count(kind program.CommandKind) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, command := range l.commands {
		if command.Kind == kind {
			count++
		}
	}
	return count
}

func (g *fakeGroups) Propose(_ context.Context, _ identity.Shard, encoded []byte) (any, error) {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	if g.isolated {
		return nil, shards.ErrUncertain
	}
	if g.log.leader != g.self {
		return nil, shards.ErrNotLeader
	}
	command, err := program.DecodeCommand(encoded)
	if err != nil {
		return nil, err
	}
	if g.log.fault != nil {
		if err, applied := g.log.fault(command); err != nil {
			if applied {
				g.apply(command, encoded)
			}
			return nil, err
		}
	}
	return g.apply(command, encoded), nil
}

func (g *fakeGroups) apply(command program.Command, encoded []byte) any {
	g.log.index++
	g.log.commands = append(g.log.commands, command)
	var result any
	for _, replica := range g.log.replicas {
		if replica.isolated {
			continue
		}
		applied := replica.machine.Apply(g.log.index, encoded)
		if replica == g {
			result = applied
		}
	}
	return result
}

func (g *fakeGroups) Leader(identity.Shard) (identity.Process, bool) {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	return g.log.leader, g.log.leader.Machine != ""
}

func (g *fakeGroups) ConfirmLeadership(context.Context, identity.Shard) error {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	if g.isolated || g.log.leader != g.self {
		return shards.ErrNotLeader
	}
	return nil
}

func (g *fakeGroups) HandOver(context.Context, identity.Shard) error {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	g.handedOver = true
	return nil
}

func (g *fakeGroups) hasHandedOver() bool {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	return g.handedOver
}

func (g *fakeGroups) isolate() {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	g.isolated = true
}

func (g *fakeGroups) Status() []shards.Status {
	g.log.mutex.Lock()
	defer g.log.mutex.Unlock()
	return []shards.Status{{Shard: shard, Term: shards.Term(g.log.term), Leading: g.log.leader == g.self, Leader: g.log.leader}}
}

func (g *fakeGroups) Changes() <-chan shards.LeaderChange { return g.changes }
