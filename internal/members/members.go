// Package members tells which daemons there are. Each daemon keeps a lease in
// the transactional store and follows the rows of all members; a daemon whose
// lease ran out is marked dead by one that watches it.
//
// Guarantee: none that anything true may rest on. The list may name daemons
// that are gone and lack new ones; who must be certain asks the store. The two
// promises are MayLend's and Keeps', with their arguments in lender.go and keeper.go.
//
// Cost: a daemon renews its own lease and reads those of a few others, at
// intervals that grow with the fleet, so that all daemons together call the
// store at a constant rate. Rows change only when a daemon comes, leaves or dies.
package members

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Table holds a row for each member, by its machine's name.
const Table = "members"

// State is the life of a member.
type State string

// The states of a member.
const (
	StateAlive   State = "alive"
	StateLeaving State = "leaving" // a planned stop: takes no new work
	// StateDead is kept for a while after the end: a dead member's claims on
	// programs that it may have lent to must not pass on at once (lender.go).
	StateDead State = "dead"
)

// Member is one daemon as this one knows it.
type Member struct {
	Process       identity.Process
	CallerAddress string // where callers reach it, "ip:port"; empty: not told
	// Capacity is the share of a processor core that the machine has; 0: not
	// told. What one daemon does for many is done by the larger machines.
	Capacity float64
	State    State
	Standing Standing
	// ClaimZone is the zone in which the member has claims; empty: its own. A machine that moved
	// to another zone keeps for its former one until its claims were released.
	ClaimZone identity.Zone
}

// claimZone is the zone in which the member has claims.
func (m *Member) claimZone() identity.Zone {
	if m.ClaimZone != "" {
		return m.ClaimZone
	}
	return m.Process.Zone
}

// View is an immutable picture of all members, ordered by machine name.
type View struct {
	Version uint64 // grows with each change
	// Read tells that the whole list was read from the store at least once.
	Read    bool
	Members []Member
}

// Directory is what other packages need of the list; *List implements it.
type Directory interface {
	// View returns the current picture; never nil; read through an atomic pointer.
	View() *View
	// Self is this process.
	Self() identity.Process
	// Subscribe delivers a signal after changes; signals may coalesce.
	Subscribe() <-chan struct{}
}

// memberRow is the value of a row in Table.
type memberRow struct {
	Address       string               `cbor:"a"` // for calls between daemons, "ip:port"
	Zone          identity.Zone        `cbor:"z"`
	Region        identity.Region      `cbor:"r"`
	Incarnation   identity.Incarnation `cbor:"i"`
	CallerAddress string               `cbor:"c,omitempty"`
	Capacity      float64              `cbor:"p,omitempty"`
	State         State                `cbor:"s"`
	Standing      Standing             `cbor:"k,omitempty"`
	ClaimZone     identity.Zone        `cbor:"w,omitempty"`
}

// Encode gives the value of the member's row.
func Encode(member Member) ([]byte, error) {
	row := memberRow{
		Address: member.Process.Address, Zone: member.Process.Zone, Region: member.Process.Region,
		Incarnation: member.Process.Incarnation, CallerAddress: member.CallerAddress, Capacity: member.Capacity, State: member.State,
		Standing: member.Standing, ClaimZone: member.ClaimZone,
	}
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode member")
}

func decode(machine string, value []byte) (Member, error) {
	var row memberRow
	if err := cbor.Unmarshal(value, &row); err != nil {
		return Member{}, eris.Wrapf(err, "decode member %s", machine)
	}
	member := Member{
		Process: identity.Process{
			Machine: identity.Machine(machine), Incarnation: row.Incarnation,
			Address: row.Address, Zone: row.Zone, Region: row.Region,
		},
		CallerAddress: row.CallerAddress,
		Capacity:      row.Capacity,
		State:         row.State,
		Standing:      row.Standing,
		ClaimZone:     row.ClaimZone,
	}
	return member, nil
}
