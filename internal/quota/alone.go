package quota

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// alone is a directory of one daemon that keeps everything since long ago.
type alone struct{ since time.Time }

// Keeper implements Directory.
func (alone) Keeper(string, int) (members.Member, bool) { return members.Member{}, true }

// Silent implements Directory.
func (alone) Silent(members.Member) bool { return false }

// Missed implements Directory.
func (alone) Missed(members.Member) {}

// Answered implements Directory.
func (alone) Answered(members.Member) {}

// Self implements Directory.
func (alone) Self() identity.Process { return identity.Process{} }

// Keeps implements Standing.
func (a alone) Keeps(string, int) (time.Time, bool) { return a.since, true }

// longAgo fills up any quota that has a place a year or more.
const longAgo = 10 * 365 * 24 * time.Hour

// NewAlone makes a limiter for one daemon by itself: its quotas are in one part and full
// from the start.
func NewAlone(settings Settings, now func() time.Time) *Limiter {
	settings.Parts = 1
	standing := alone{since: now().Add(-longAgo)}
	return NewLimiter(Options{
		Settings: settings, Keeper: NewKeeper(settings, standing, now), Directory: standing, Now: now, Log: zap.NewNop(),
	})
}
