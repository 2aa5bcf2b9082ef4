package members

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// registration writes the rows of a process that registers. The process's initial standing depends
// on the row that the machine already has, if any, so each attempt is conditional on the version of
// that row.
type registration struct {
	lease       *Lease
	memberKey   state.Key
	seenVersion state.Version // of the row found at memberKey; zero: none was found
	existing    *Member       // decoded row found at memberKey; nil: none was found
	// isNewcomer is true until a conflict shows that this machine already had a row, that a row of
	// any machine was removed before, or that the bootstrap has ended.
	isNewcomer bool
	standing   Standing
	// claimZone is the zone of the claims that the machine already has; empty: it has none, or they
	// are in this process's own zone.
	claimZone identity.Zone
}

// tryCommit commits the rows. After a conflict it tries once more, with the row that the conflict
// showed.
func (r *registration) tryCommit(ctx context.Context) error {
	err := r.commit(ctx)
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return eris.Wrap(err, "register member")
	}
	done, err := r.applyConflict(conflict)
	if done || err != nil {
		return err
	}
	return eris.Wrap(r.commit(ctx), "register member after a conflict")
}

func (r *registration) commit(ctx context.Context) error {
	commit, err := r.buildCommit()
	if err != nil {
		return err
	}
	version, err := r.lease.Store.Commit(ctx, commit)
	if err == nil {
		r.lease.version = version
	}
	return err
}

func (r *registration) buildCommit() (state.Commit, error) {
	r.standing = initialStanding(r.existing, r.lease.List.self, r.isNewcomer && r.lease.FirstStart)
	r.claimZone = ""
	if r.existing != nil && r.standing.hasClaims() && r.existing.claimZone() != r.lease.List.self.Process.Zone {
		r.claimZone = r.existing.claimZone()
	}
	r.lease.recordsVersions = r.existing == nil || r.existing.RecordsVersions
	member := r.lease.member(r.standing)
	member.ClaimZone = r.claimZone
	value, err := Encode(member)
	if err != nil {
		return state.Commit{}, err
	}
	lease, err := r.lease.encodeLease()
	if err != nil {
		return state.Commit{}, err
	}
	leaseKey := keyOf(LeaseTable, r.lease.List.self.Process.Machine)
	commit := state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: r.memberKey, Version: r.seenVersion}},
		Puts:       []state.Put{{Key: r.memberKey, Value: value}, {Key: leaseKey, Value: lease}},
	}
	if r.isNewcomer {
		commit.Conditions = append(commit.Conditions, state.Condition{Key: removedKey})
	}
	if r.isNewcomer && r.lease.FirstStart {
		commit.Conditions = append(commit.Conditions, state.Condition{Key: bootstrapKey})
	}
	return commit, nil
}

// applyConflict prepares the next attempt from the rows of the conflict. done reports that an
// earlier attempt had written the row, but the store's answer was lost.
func (r *registration) applyConflict(conflict *state.ConflictError) (done bool, err error) {
	row, exists := conflict.Find(r.memberKey)
	if !exists {
		r.isNewcomer, r.seenVersion, r.existing = false, 0, nil // a member row was removed before, or the bootstrap has ended
		return false, nil
	}
	found, err := decode(row.Key.Name, row.Value)
	if err != nil {
		return false, err
	}
	if found.Process == r.lease.List.self.Process && found.State != StateDead {
		r.lease.version, r.standing, r.claimZone = row.Version, found.Standing, found.ClaimZone
		r.lease.recordsVersions = found.RecordsVersions
		return true, nil
	}
	r.isNewcomer, r.seenVersion, r.existing = false, row.Version, &found
	return false, nil
}
