package configuration

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// ChangeAction is the kind of a change: whether an item was added, removed or changed.
type ChangeAction string

// Values of ItemChange.Action.
const (
	ActionAdded   ChangeAction = "added"
	ActionRemoved ChangeAction = "removed"
	ActionChanged ChangeAction = "changed"
)

// ItemChange describes one item that differs between two documents, for display.
type ItemChange struct {
	Kind   string // "tenant", "model", "pool", "engine", "service", "drain"
	Name   string
	Action ChangeAction
	Fields []FieldChange // the fields that differ; set only for ActionChanged
}

// FieldChange describes one changed field of an item, for display.
type FieldChange struct {
	Name string // YAML key of the field
	From string // formatted old value
	To   string // formatted new value
}

// DiffItems returns the changes between two documents, for display. The changes are
// grouped by kind; within a kind the removals come first, and removals and other
// changes are each sorted by name. The documents need not be in normal form.
func DiffItems(from, to Document) []ItemChange {
	before, after := Normalize(&from), Normalize(&to)
	difference := ComputeDifference(&before, &after)
	upserts, deletes := &difference.Upserts, &difference.Deletes
	var changes []ItemChange
	changes = appendChanges(changes, "tenant", before.Tenants, upserts.Tenants, deletes.Tenants, tenantName)
	changes = appendChanges(changes, "model", before.Models, upserts.Models, deletes.Models, modelName)
	changes = appendChanges(changes, "pool", before.Pools, upserts.Pools, deletes.Pools, poolName)
	changes = appendChanges(changes, "engine", before.Engines, upserts.Engines, deletes.Engines, engineName)
	changes = appendChanges(changes, "service", before.Services, upserts.Services, deletes.Services, serviceName)
	return appendChanges(changes, "drain", before.Drains, upserts.Drains, deletes.Drains, drainName)
}

func appendChanges[T any](changes []ItemChange, kind string, before, upserts []T, deletes []string, name func(*T) string) []ItemChange {
	for _, deleted := range deletes {
		changes = append(changes, ItemChange{Kind: kind, Name: deleted, Action: ActionRemoved})
	}
	for i := range upserts {
		change := ItemChange{Kind: kind, Name: name(&upserts[i]), Action: ActionAdded}
		if previous, found := findItem(before, change.Name, name); found {
			change.Action = ActionChanged
			change.Fields = changedFields(reflect.ValueOf(*previous), reflect.ValueOf(upserts[i]))
		}
		changes = append(changes, change)
	}
	return changes
}

// changedFields returns the fields in which two structs of the same type differ.
// It returns nil for values that are not structs.
func changedFields(from, to reflect.Value) []FieldChange {
	if from.Kind() != reflect.Struct {
		return nil
	}
	var changes []FieldChange
	for i := range from.NumField() {
		before, after := formatField(from.Field(i)), formatField(to.Field(i))
		if before == after {
			continue
		}
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, FieldChange{Name: name, From: before, To: after})
	}
	return changes
}

func formatField(value reflect.Value) string {
	if duration, ok := value.Interface().(time.Duration); ok {
		return duration.String()
	}
	if list, ok := value.Interface().([]string); ok {
		return "[" + strings.Join(list, ", ") + "]"
	}
	return fmt.Sprint(value.Interface())
}
