package quota

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// standalone implements Directory and Ownership for a single daemon that has owned all
// parts since the given time.
type standalone struct{ since time.Time }

// ShardOwner implements Directory.
func (standalone) ShardOwner(string, int) (members.Member, bool) { return members.Member{}, true }

// IsZoneSilent implements Directory.
func (standalone) IsZoneSilent(members.Member) bool { return false }

// RecordMiss implements Directory.
func (standalone) RecordMiss(members.Member) {}

// RecordAnswer implements Directory.
func (standalone) RecordAnswer(members.Member) {}

// Self implements Directory.
func (standalone) Self() identity.Process { return identity.Process{} }

// OwnsShard implements Ownership.
func (s standalone) OwnsShard(string, int) (time.Time, bool) { return s.since, true }

// standaloneAge is how long a standalone daemon is assumed to have owned its parts. It is
// long enough to fill the bucket of any practical quota.
const standaloneAge = 10 * 365 * 24 * time.Hour

// NewStandalone returns a limiter for a single daemon. Each quota consists of one part,
// which is full at the start.
func NewStandalone(settings Settings, now func() time.Time) *Limiter {
	settings.Parts = 1
	directory := standalone{since: now().Add(-standaloneAge)}
	return NewLimiter(Options{
		Settings: settings, Issuer: NewIssuer(settings, directory, now), Directory: directory, Now: now, Log: zap.NewNop(),
	})
}
