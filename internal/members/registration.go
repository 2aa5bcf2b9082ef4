package members

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// registration writes a process's rows. What they say of its standing hangs on the row that its
// machine's former process left, so each try is on condition that this row is as it was seen.
type registration struct {
	lease    *Lease
	row      state.Key
	seen     state.Version // of the row; zero: none is known
	found    *Member       // what the row said
	newcomer bool          // no row of this machine was there, and none was ever removed
	standing Standing
	// claimZone is that of the machine's claims, if it has any already.
	claimZone identity.Zone
}

// try commits the rows; on a conflict it tries once more by the row that was found.
func (r *registration) try(ctx context.Context) error {
	err := r.commit(ctx)
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return eris.Wrap(err, "register member")
	}
	done, err := r.learn(conflict)
	if done || err != nil {
		return err
	}
	return eris.Wrap(r.commit(ctx), "register member after a conflict")
}

func (r *registration) commit(ctx context.Context) error {
	commit, err := r.rows()
	if err != nil {
		return err
	}
	version, err := r.lease.Store.Commit(ctx, commit)
	if err == nil {
		r.lease.version = version
	}
	return err
}

func (r *registration) rows() (state.Commit, error) {
	r.standing = registeredStanding(r.found, r.lease.List.self, r.newcomer && r.lease.FirstStart)
	r.claimZone = ""
	if r.found != nil && r.standing.claims() && r.found.claimZone() != r.lease.List.self.Process.Zone {
		r.claimZone = r.found.claimZone()
	}
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
	leased := keyOf(LeaseTable, r.lease.List.self.Process.Machine)
	commit := state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: r.row, Version: r.seen}},
		Puts:       []state.Put{{Key: r.row, Value: value}, {Key: leased, Value: lease}},
	}
	if r.newcomer {
		commit.Conditions = append(commit.Conditions, state.Condition{Key: removedKey})
	}
	if r.newcomer && r.lease.FirstStart {
		commit.Conditions = append(commit.Conditions, state.Condition{Key: foundedKey})
	}
	return commit, nil
}

// learn takes in the row that was found; done tells that an earlier try without an answer wrote it.
func (r *registration) learn(conflict *state.ConflictError) (done bool, err error) {
	row, exists := conflict.Find(r.row)
	if !exists {
		r.newcomer, r.seen, r.found = false, 0, nil // a row of some machine was removed before, or the founding is over
		return false, nil
	}
	found, err := decode(row.Key.Name, row.Value)
	if err != nil {
		return false, err
	}
	if found.Process == r.lease.List.self.Process && found.State != StateDead {
		r.lease.version, r.standing, r.claimZone = row.Version, found.Standing, found.ClaimZone
		return true, nil
	}
	r.newcomer, r.seen, r.found = false, row.Version, &found
	return false, nil
}
