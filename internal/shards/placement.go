package shards

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// minUptime is the time for which a daemon must have run before it treats a process that is not
// in the membership as lost. Until then the process may be starting and not registered yet.
const minUptime = 4 * time.Second

// placement decides which daemon should lead a shard, from what was known at one moment. Its
// methods make no calls and return the same result for the same values.
type placement struct {
	self          identity.Process
	alive         []identity.Process
	members       map[identity.Machine]members.Member
	mayAssumeLost bool               // a process that is not in the membership counts as lost
	enoughDaemons bool               // as many daemons are alive as the first start requires
	unreachable   []identity.Process // processes that retain their lease but cannot be reached
}

func newPlacement(self identity.Process, view *members.View, uptime time.Duration, expect int) *placement {
	p := &placement{self: self, members: map[identity.Machine]members.Member{}, mayAssumeLost: uptime >= minUptime && view.Loaded}
	for _, member := range view.Members {
		p.members[member.Process.Machine] = member
		if member.State == members.StateAlive {
			p.alive = append(p.alive, member.Process)
		}
	}
	p.enoughDaemons = len(p.alive) >= expect
	return p
}

// markUnreachable treats the processes as lost and no longer as alive. It changes p and returns
// it.
func (p *placement) markUnreachable(cutOff []identity.Process) *placement {
	p.unreachable = cutOff
	p.alive = slices.DeleteFunc(p.alive, func(process identity.Process) bool { return slices.Contains(cutOff, process) })
	return p
}

// isNext returns true if this daemon would lead the shard if the leader were lost.
func (p *placement) isNext(shard identity.Shard, leader identity.Process) bool {
	return p.preferredLeader(shard, leader) == p.self
}

// shouldTake returns true if this daemon should become the shard's leader now.
func (p *placement) shouldTake(shard identity.Shard, leader Leader) bool {
	switch {
	case leader.Process == p.self:
		return true // this process won the leadership but did not receive the answer of the store
	case leader.Process.Machine != "" && !p.isLost(leader.Process):
		return false
	case leader.Term == 0 && !p.enoughDaemons:
		return false // the first start waits until enough daemons are alive
	}
	return p.preferredLeader(shard, leader.PreviousLeader) == p.self
}

// isLost returns true if the process appears to have ended or cannot be reached. A wrong answer
// does no harm, since the store allows only one leader to commit.
func (p *placement) isLost(process identity.Process) bool {
	member, listed := p.members[process.Machine]
	switch {
	case !listed:
		return p.mayAssumeLost
	case member.Process.Incarnation != process.Incarnation:
		return member.Process.Incarnation > process.Incarnation
	default:
		return member.State == members.StateDead || slices.Contains(p.unreachable, process)
	}
}

// preferredLeader returns the alive daemon with the highest rendezvous weight for the shard. It
// returns the excluded process only if no other daemon is alive. Without an alive daemon the
// result is zero.
func (p *placement) preferredLeader(shard identity.Shard, excluded identity.Process) identity.Process {
	var best identity.Process
	var highest uint64
	for _, process := range p.alive {
		if process == excluded && len(p.alive) > 1 {
			continue
		}
		if weight := shardWeight(process, shard); best.Machine == "" || weight > highest {
			best, highest = process, weight
		}
	}
	return best
}

// shardWeight returns the rendezvous weight of the process for the shard. It depends on the
// machine but not on the incarnation, so that a restarted daemon gets the same shards again.
func shardWeight(process identity.Process, shard identity.Shard) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(shard), 10) + "/" + string(process.Machine))
}

// balancer selects shards that this daemon hands over for balance although it is healthy, one
// at a time.
type balancer struct {
	now          func() time.Time
	started      time.Time
	lastHandOver time.Time // time of the last selection
}

func newBalancer(now func() time.Time) *balancer {
	return &balancer{now: now, started: now(), lastHandOver: now()}
}

func (b *balancer) uptime() time.Duration { return b.now().Sub(b.started) }

// balanceInterval is the minimum time between two hand-overs for balance.
const balanceInterval = 3 * time.Second

// nextHandOver returns a shard to hand over, or false if there is none now. It returns one only
// if this daemon leads more than an equal share of the shards, another daemon is preferred for
// the shard and idle returns true for it.
func (b *balancer) nextHandOver(seen *placement, current *Map, led []identity.Shard, idle func(identity.Shard) bool) (identity.Shard, bool) {
	daemons := len(seen.alive)
	if daemons < 2 || b.now().Sub(b.lastHandOver) < balanceInterval {
		return 0, false
	}
	share := (int(current.ShardCount) + daemons - 1) / daemons
	if len(led) <= share {
		return 0, false
	}
	slices.Sort(led)
	for _, shard := range led {
		if seen.preferredLeader(shard, identity.Process{}) != seen.self && idle(shard) {
			b.lastHandOver = b.now()
			return shard, true
		}
	}
	return 0, false
}
