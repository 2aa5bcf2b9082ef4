package shards

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// settleTime is how long a daemon must have run, and have read the list of
// members, before it takes a process that is not listed for lost: one that is
// starting has not registered yet.
const settleTime = 4 * time.Second

// picture is what decides who should lead: pure values of one moment.
type picture struct {
	self    identity.Process
	alive   []identity.Process
	present map[identity.Machine]members.Member
	settled bool
	enough  bool               // daemons for a first start
	cutOff  []identity.Process // whose leases stand, but who cannot be reached
}

func newPicture(self identity.Process, view *members.View, uptime time.Duration, expect int) *picture {
	made := &picture{self: self, present: map[identity.Machine]members.Member{}, settled: uptime >= settleTime && view.Read}
	for _, member := range view.Members {
		made.present[member.Process.Machine] = member
		if member.State == members.StateAlive {
			made.alive = append(made.alive, member.Process)
		}
	}
	made.enough = len(made.alive) >= expect
	return made
}

// without takes processes that cannot be reached for lost.
func (p *picture) without(cutOff []identity.Process) *picture {
	p.cutOff = cutOff
	p.alive = slices.DeleteFunc(p.alive, func(process identity.Process) bool { return slices.Contains(cutOff, process) })
	return p
}

// next tells whether this daemon would lead the shard if its leader were lost.
func (p *picture) next(shard identity.Shard, leader identity.Process) bool {
	return p.preferred(shard, leader) == p.self
}

// shouldTake tells whether this daemon should become the shard's leader now.
func (p *picture) shouldTake(shard identity.Shard, leader Leader) bool {
	switch {
	case leader.Process == p.self:
		return true // written by an acquisition whose answer this process did not hear
	case leader.Process.Machine != "" && !p.lost(leader.Process):
		return false
	case leader.Term == 0 && !p.enough:
		return false // the first start waits for all
	}
	return p.preferred(shard, leader.Former) == p.self
}

// lost tells whether the process is certainly not leading, as far as can be
// seen; that it is wrong does no harm, since the store decides.
func (p *picture) lost(process identity.Process) bool {
	member, listed := p.present[process.Machine]
	switch {
	case !listed:
		return p.settled
	case member.Process.Incarnation != process.Incarnation:
		return member.Process.Incarnation > process.Incarnation
	default:
		return member.State == members.StateDead || slices.Contains(p.cutOff, process)
	}
}

// preferred is the living daemon with the first claim on the shard, but not
// the one that gave it up (rendezvous hashing).
func (p *picture) preferred(shard identity.Shard, former identity.Process) identity.Process {
	var best identity.Process
	var bestClaim uint64
	for _, process := range p.alive {
		if process == former && len(p.alive) > 1 {
			continue
		}
		if claimed := claim(process, shard); best.Machine == "" || claimed > bestClaim {
			best, bestClaim = process, claimed
		}
	}
	return best
}

// claim hangs on the machine, so that one that comes back gets its shards back.
func claim(process identity.Process, shard identity.Shard) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(uint64(shard), 10) + "/" + string(process.Machine))
}

// balance decides when a shard is given away though its leader is well.
type balance struct {
	now     func() time.Time
	started time.Time
	last    time.Time // when a shard was last given away
}

func newBalance(now func() time.Time) *balance {
	return &balance{now: now, started: now(), last: now()}
}

func (b *balance) uptime() time.Duration { return b.now().Sub(b.started) }

// balancePause is the time between two shards that are given away.
const balancePause = 3 * time.Second

// next names a shard that another daemon leads better: this one leads more
// than its share, and nothing of the shard is under way here.
func (b *balance) next(picture *picture, current *Map, led []identity.Shard, idle func(identity.Shard) bool) (identity.Shard, bool) {
	daemons := len(picture.alive)
	if daemons < 2 || b.now().Sub(b.last) < balancePause {
		return 0, false
	}
	share := (int(current.Shards) + daemons - 1) / daemons
	if len(led) <= share {
		return 0, false
	}
	slices.Sort(led)
	for _, shard := range led {
		if picture.preferred(shard, identity.Process{}) != picture.self && idle(shard) {
			b.last = b.now()
			return shard, true
		}
	}
	return 0, false
}
