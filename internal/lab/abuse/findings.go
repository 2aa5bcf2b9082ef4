package abuse

import (
	"fmt"
	"slices"
	"strings"
)

// minServedShare is the share of ordinary requests that must be served while clients do not behave.
const minServedShare = 0.9

// maxUnreadyInARow is the largest number of readiness checks in a row that may fail: after one more,
// the platform takes the machine out of service.
const maxUnreadyInARow = 1

// Findings returns the guarantees that the gateway has broken.
func (r *Report) Findings() (findings []string) {
	add := func(format string, arguments ...any) { findings = append(findings, fmt.Sprintf(format, arguments...)) }
	if r.Ended != "" {
		add("the process ended: %s", r.Ended)
		return findings
	}
	if r.During.Share() < minServedShare {
		add("ordinary callers were not served: %s", r.During)
	}
	if r.After.OK < r.After.Sent {
		add("ordinary callers were not served after the clients had left: %s", r.After)
	}
	if r.MaxUnreadyInARow > maxUnreadyInARow {
		add("%d readiness checks in a row failed: %s", r.MaxUnreadyInARow, r.Ready)
	}
	if len(r.FalseRefusals) > 0 {
		add("requests ran although their refusal promised that they did not: %s", strings.Join(r.FalseRefusals, ", "))
	}
	return findings
}

// Select returns the clients with the names; all if there are none.
func Select(names []string) (selected []Client) {
	for _, each := range Clients() {
		if len(names) == 0 || slices.Contains(names, each.Name) {
			selected = append(selected, each)
		}
	}
	return selected
}

// Mixed returns the clients with a tenth of their counts, to be played at the same time.
func Mixed(clients []Client) []Client {
	const divisor = 10
	mixed := slices.Clone(clients)
	for index := range mixed {
		mixed[index].Count /= divisor
	}
	return mixed
}
