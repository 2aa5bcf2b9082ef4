// Package acquaintance fills the member lists of daemons in tests that have no
// store.
package acquaintance

import (
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/state"
)

// FillLists puts the processes of all lists into each list, as members in state alive.
// The effect is the same as if the lists had read the members from a store.
func FillLists(lists ...*members.List) error {
	var rows []state.Row
	for _, list := range lists {
		row, err := Row(members.Member{Process: list.Self(), State: members.StateAlive})
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	for _, list := range lists {
		list.Replace(rows, 1)
	}
	return nil
}

// Row returns the row by which the store represents a member, with version 1.
func Row(member members.Member) (state.Row, error) {
	value, err := members.Encode(member)
	key := state.Key{Table: members.MemberTable, Name: string(member.Process.Machine)}
	return state.Row{Key: key, Value: value, Version: 1}, err
}
