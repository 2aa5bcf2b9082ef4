// Package members maintains the list of all daemons. Each daemon registers a row and renews a lease
// in the transactional store, and follows the rows of all members. A daemon whose lease expires is
// marked dead by another daemon that checks the lease.
//
// The list is eventually consistent: it may name daemons that have ended and lack new ones. Callers
// that need certainty must ask the store. Only List.MayLend and List.OwnsShard give stronger
// guarantees; lender.go and shard_owner.go describe them.
//
// Each daemon renews its own lease and reads the leases of a few others. The interval between
// renewals grows with the number of members, so the total rate of renewals doesn't grow with a
// large fleet. Member rows change only when a daemon joins, leaves or dies, or its standing
// changes.
package members

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// MemberTable is the store table with one row per member, keyed by machine name.
const MemberTable = "members"

// State is a member's lifecycle state.
type State string

// Lifecycle states.
const (
	StateAlive   State = "alive"
	StateLeaving State = "leaving" // planned shutdown in progress: accepts no new work
	// StateDead members stay listed for deadRetention. Until then the programs that a dead member
	// may have lent to don't pass to another member (see lender.go).
	StateDead State = "dead"
)

// Member describes one daemon as known to this daemon.
type Member struct {
	Process       identity.Process
	CallerAddress string // address for callers, "ip:port"; empty: unknown
	// Capacity is the machine's processor capacity in cores; 0: unknown. Load aggregators are
	// chosen among the machines with the highest capacity (see package load).
	Capacity float64
	State    State
	Standing Standing
	// ClaimZone is the zone in which shards are assigned to the member; empty: its own zone. If a
	// machine moves to another zone, it owns shards of the previous zone until its claims are
	// released.
	ClaimZone identity.Zone
	// RecordsVersions reports that this process and all earlier ones of its machine belong to builds
	// that record the software versions of engines (see package softwareversion).
	RecordsVersions bool
}

// AddressesOf returns the addresses at which the members serve other daemons.
func AddressesOf(listed []Member) []string {
	addresses := make([]string, 0, len(listed))
	for _, member := range listed {
		addresses = append(addresses, member.Process.Address)
	}
	return addresses
}

// claimZone returns the zone in which shards are assigned to the member.
func (m *Member) claimZone() identity.Zone {
	if m.ClaimZone != "" {
		return m.ClaimZone
	}
	return m.Process.Zone
}

// View is an immutable snapshot of all members, ordered by machine name.
type View struct {
	Version uint64 // increases with each change
	// Loaded reports whether the whole list was read from the store at least once.
	Loaded  bool
	Members []Member
}

// Directory provides read access to the list for other packages. *List implements it.
type Directory interface {
	// View returns the current snapshot, never nil. It takes no lock.
	View() *View
	// Self returns this process.
	Self() identity.Process
	// Subscribe returns a channel that receives a signal after a change. One signal may cover
	// several changes.
	Subscribe() <-chan struct{}
}

// memberRow is the encoded value of a row in MemberTable.
type memberRow struct {
	Address         string               `cbor:"a"` // for calls between daemons, "ip:port"
	Zone            identity.Zone        `cbor:"z"`
	Region          identity.Region      `cbor:"r"`
	Incarnation     identity.Incarnation `cbor:"i"`
	CallerAddress   string               `cbor:"c,omitempty"`
	Capacity        float64              `cbor:"p,omitempty"`
	State           State                `cbor:"s"`
	Standing        Standing             `cbor:"k,omitempty"`
	ClaimZone       identity.Zone        `cbor:"w,omitempty"`
	RecordsVersions bool                 `cbor:"v,omitempty"`
}

// Encode returns the value of the member's row in MemberTable.
func Encode(member Member) ([]byte, error) {
	row := memberRow{
		Address: member.Process.Address, Zone: member.Process.Zone, Region: member.Process.Region,
		Incarnation: member.Process.Incarnation, CallerAddress: member.CallerAddress, Capacity: member.Capacity, State: member.State,
		Standing: member.Standing, ClaimZone: member.ClaimZone, RecordsVersions: member.RecordsVersions,
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
		CallerAddress:   row.CallerAddress,
		Capacity:        row.Capacity,
		State:           row.State,
		Standing:        row.Standing,
		ClaimZone:       row.ClaimZone,
		RecordsVersions: row.RecordsVersions,
	}
	return member, nil
}
