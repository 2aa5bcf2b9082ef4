package configuration

import (
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

const (
	maxNameBytes  = 128    // maximum length of the name of an item
	keyHashDigits = 64     // length of a SHA-256 hash in hexadecimal
	maxFaults     = 100    // maximum number of faults that are described
	maxListItems  = 100000 // maximum number of items of one kind
)

// Valid values of Tenant.Class, Pool.Role and Service.Kind.
var (
	priorityClasses = []string{"", "interactive", "standard", "batch"}
	poolRoles       = []string{"", "serve", "prefill", "decode"}
	serviceKinds    = []string{"service", "tool"}
)

// Validate returns the faults of the document, one message per fault; the document
// is valid if there are none. It returns at most 100 faults, followed by one message
// with the number of faults that it left out.
func Validate(document *Document) []string {
	var result faults
	result.checkTenants(document.Tenants)
	result.checkModels(document.Models)
	result.checkEngines(document.Engines)
	result.checkPools(document)
	result.checkServices(document.Services)
	result.checkDrains(document.Drains)
	return result.list()
}

// faults collects fault messages.
type faults struct {
	lines   []string // at most maxFaults messages
	omitted int      // number of faults beyond maxFaults
}

// subject identifies the item that a fault concerns. It is formatted only if there
// is a fault.
type subject struct{ kind, name string }

func (s subject) String() string { return fmt.Sprintf("%s %q", s.kind, s.name) }

func (f *faults) add(format string, arguments ...any) {
	if len(f.lines) >= maxFaults {
		f.omitted++
		return
	}
	f.lines = append(f.lines, fmt.Sprintf(format, arguments...))
}

func (f *faults) list() []string {
	if f.omitted == 0 {
		return f.lines
	}
	return append(f.lines, fmt.Sprintf("and %d more faults", f.omitted))
}

func (f *faults) checkTenants(tenants []Tenant) {
	checkNames(f, "tenant", tenants, tenantName)
	owners := make(map[string]string, len(tenants))
	for i := range tenants {
		item := &tenants[i]
		location := subject{"tenant", string(item.Name)}
		f.checkKeyHashes(location, item, owners)
		f.checkOneOf(location, "class", item.Class, priorityClasses)
		f.checkNotNegative(location, "requests_per_second", item.RequestsPerSecond >= 0)
		if math.IsInf(item.RequestsPerSecond, 0) {
			f.add("%s: requests_per_second is not finite; omit it for no limit", location)
		}
		f.checkNotNegative(location, "burst", item.Burst >= 0)
		f.checkNotNegative(location, "token_budget", item.TokenBudget >= 0)
		f.checkNotNegative(location, "idle", item.Idle >= 0)
		f.checkNotNegative(location, "lifetime", item.Lifetime >= 0)
		f.checkNotNegative(location, "max_programs", item.MaxPrograms >= 0)
	}
}

func (f *faults) checkKeyHashes(location subject, item *Tenant, owners map[string]string) {
	for _, hash := range item.KeyHashes {
		if _, err := tenant.ParseDigest(hash); err != nil {
			f.add("%s: key_hashes: %q is not the SHA-256 of a key in %d lower-case hex digits", location, truncateSecret(hash), keyHashDigits)
			continue
		}
		if owner, taken := owners[hash]; taken {
			f.add("%s: key_hashes: %q is also a key of tenant %q", location, hash, owner)
			continue
		}
		owners[hash] = string(item.Name)
	}
}

// truncateSecret shortens a text for a message, since an operator may have written a
// key instead of its hash.
func truncateSecret(text string) string {
	const shown = 4
	if len(text) <= shown {
		return text
	}
	return text[:shown] + "..."
}

func (f *faults) checkModels(models []Model) {
	checkNames(f, "model", models, modelName)
	for i := range models {
		location := subject{"model", models[i].Name}
		if models[i].Version == "" {
			f.add("%s: version is missing", location)
		}
		f.checkUnique(location, "adapters", models[i].Adapters)
	}
}

func (f *faults) checkEngines(engines []Engine) {
	checkNames(f, "engine", engines, engineName)
	owners := make(map[string]string, len(engines))
	for i := range engines {
		engine := &engines[i]
		location := subject{"engine", engine.Name}
		f.checkAddress(location, engine.Address)
		if owner, taken := owners[engine.Address]; taken {
			f.add("%s: address %q is also that of engine %q", location, engine.Address, owner)
		}
		owners[engine.Address] = engine.Name
		if engine.Zone == "" {
			f.add("%s: zone is missing", location)
		}
	}
}

func (f *faults) checkPools(document *Document) {
	checkNames(f, "pool", document.Pools, poolName)
	models := nameSet(document.Models, modelName)
	engines := nameSet(document.Engines, engineName)
	owners := make(map[string]string, len(document.Engines))
	for i := range document.Pools {
		pool := &document.Pools[i]
		location := subject{"pool", pool.Name}
		if !models[pool.Model] {
			f.add("%s: model %q is not declared", location, pool.Model)
		}
		f.checkOneOf(location, "role", pool.Role, poolRoles)
		f.checkNotNegative(location, "max_unavailable", pool.MaxUnavailable >= 0)
		if len(pool.Engines) == 0 {
			f.add("%s: engines is empty", location)
		}
		for _, engine := range pool.Engines {
			if !engines[engine] {
				f.add("%s: engine %q is not declared", location, engine)
			}
			if owner, taken := owners[engine]; taken {
				f.add("%s: engine %q is already in pool %q; an engine is in one pool only", location, engine, owner)
				continue
			}
			owners[engine] = pool.Name
		}
	}
}

func (f *faults) checkServices(services []Service) {
	checkNames(f, "service", services, serviceName)
	for i := range services {
		service := &services[i]
		location := subject{"service", service.Name}
		f.checkOneOf(location, "kind", service.Kind, serviceKinds)
		if len(service.Addresses) == 0 {
			f.add("%s: addresses is empty", location)
		}
		f.checkUnique(location, "addresses", service.Addresses)
		for _, address := range service.Addresses {
			f.checkAddress(location, address)
		}
		f.checkNotNegative(location, "timeout", service.Timeout >= 0)
	}
}

func (f *faults) checkDrains(drains []string) {
	checkNames(f, "drain", drains, drainName)
}

func (f *faults) checkAddress(location subject, address string) {
	if !isBaseURL(address) {
		f.add("%s: address %q is not a base URL such as http://10.0.0.7:8000", location, address)
	}
}

func isBaseURL(address string) bool {
	parsed, err := url.Parse(address)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Hostname() == "" {
		return false
	}
	if parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		return false
	}
	if parsed.Port() == "" {
		return true
	}
	port, err := strconv.ParseUint(parsed.Port(), 10, 16)
	return err == nil && port > 0
}

func (f *faults) checkOneOf(location subject, field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		f.add("%s: %s %q is not one of %q", location, field, value, slices.DeleteFunc(slices.Clone(allowed), isEmpty))
	}
}

func (f *faults) checkNotNegative(location subject, field string, valid bool) {
	if !valid {
		f.add("%s: %s is negative", location, field)
	}
}

func (f *faults) checkUnique(location subject, field string, values []string) {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if value == "" {
			f.add("%s: %s has an empty entry", location, field)
		}
		if seen[value] {
			f.add("%s: %s names %q twice", location, field, value)
		}
		seen[value] = true
	}
}

func isEmpty(text string) bool { return text == "" }

func checkNames[T any](result *faults, kind string, list []T, name func(*T) string) {
	if len(list) > maxListItems {
		result.add("%d %ss exceed the limit of %d in a document", len(list), kind, maxListItems)
	}
	seen := make(map[string]bool, len(list))
	for i := range list {
		itemName := name(&list[i])
		if !isName(itemName) {
			result.add("%s %d: name %q is not 1 to %d visible characters", kind, i+1, itemName, maxNameBytes)
		}
		if seen[itemName] {
			result.add("%s %q is declared twice", kind, itemName)
		}
		seen[itemName] = true
	}
}

// isName reports whether the text is a valid name: 1 to maxNameBytes bytes of UTF-8
// with printable characters and no spaces.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
}

func nameSet[T any](list []T, name func(*T) string) map[string]bool {
	names := make(map[string]bool, len(list))
	for i := range list {
		names[name(&list[i])] = true
	}
	return names
}
