// Package acquaintance makes daemons of a test known to each other without a store.
package acquaintance

import (
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Make tells each list of all members, as if it had read their rows.
func Make(lists ...*members.List) error {
	var rows []state.Row
	for _, list := range lists {
		row, err := RowOf(members.Member{Process: list.Self(), State: members.StateAlive})
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

// RowOf is the row of a member as the store has it.
func RowOf(member members.Member) (state.Row, error) {
	value, err := members.Encode(member)
	key := state.Key{Table: members.MemberTable, Name: string(member.Process.Machine)}
	return state.Row{Key: key, Value: value, Version: 1}, err
}
