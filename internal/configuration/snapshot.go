package configuration

import (
	"net/url"
	"slices"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Snapshot is an immutable revision with indexes, read through an atomic pointer.
type Snapshot struct {
	Revision      uint64
	Document      Document
	Keys          tenant.Keys // whose each caller's key is
	TenantByName  map[identity.Tenant]*Tenant
	EngineByName  map[string]*Engine
	ModelByName   map[string]*Model
	ServiceByName map[string]*Service
	PoolsOfModel  map[string][]*Pool
	Drained       map[string]bool
}

// BuildSnapshot puts the document into normal form and builds its indexes.
// The document must be valid; of items with equal names the last one counts.
func BuildSnapshot(revision uint64, document Document) *Snapshot {
	return indexed(revision, Normalize(&document), nil)
}

// Patched gives the snapshot of the revision to which the difference leads.
// Lists and indexes that it does not touch are shared, so that the cost
// follows the lists touched.
func (s *Snapshot) Patched(difference *Difference) *Snapshot {
	return indexed(difference.To, Patch(&s.Document, difference), s)
}

// Past gives the document of an earlier revision (or of this one) out of the
// history, newest first. It is false when the history does not reach from this
// revision to the earlier one.
func (s *Snapshot) Past(revision uint64, history []Revision) (Document, bool) {
	document, reached := s.Document, s.Revision
	for i := range history {
		if reached == revision {
			break
		}
		if history[i].Number == reached {
			document = Patch(&document, &history[i].Back)
			reached = history[i].Back.To
		}
	}
	return document, reached == revision
}

// Preview gives the document after a partial change of this revision, or all
// faults that would reject the change.
func (s *Snapshot) Preview(partial *Difference) (Document, []string) {
	if faults := checkPartial(partial, &s.Document); len(faults) > 0 {
		return Document{}, faults
	}
	document := Patch(&s.Document, partial)
	return document, Validate(&document)
}

// Names says whether a drain of the name would concern any declared back end:
// an engine or service by name, or one of their places by "host:port" or host.
func (s *Snapshot) Names(drain string) bool {
	if s.EngineByName[drain] != nil || s.ServiceByName[drain] != nil {
		return true
	}
	for i := range s.Document.Engines {
		if isPlace(s.Document.Engines[i].Address, drain) {
			return true
		}
	}
	for i := range s.Document.Services {
		if slices.ContainsFunc(s.Document.Services[i].Addresses, func(address string) bool { return isPlace(address, drain) }) {
			return true
		}
	}
	return false
}

func isPlace(address, drain string) bool {
	parsed, err := url.Parse(address)
	return err == nil && (address == drain || parsed.Host == drain || parsed.Hostname() == drain)
}

// indexed builds the indexes over a document in normal form, or takes them
// from the former snapshot where the list is the same.
func indexed(revision uint64, document Document, former *Snapshot) *Snapshot {
	snapshot := &Snapshot{Revision: revision, Document: document}
	if former == nil {
		former = &Snapshot{}
	}
	snapshot.TenantByName, snapshot.Keys = former.TenantByName, former.Keys
	if former.TenantByName == nil || !sameList(document.Tenants, former.Document.Tenants) {
		snapshot.indexTenants()
	}
	snapshot.EngineByName = former.EngineByName
	if former.EngineByName == nil || !sameList(document.Engines, former.Document.Engines) {
		snapshot.EngineByName = indexByName(document.Engines, engineName)
	}
	snapshot.ModelByName = indexByName(document.Models, modelName)
	snapshot.ServiceByName = indexByName(document.Services, serviceName)
	snapshot.PoolsOfModel = make(map[string][]*Pool, len(document.Models))
	for i := range document.Pools {
		pool := &document.Pools[i]
		snapshot.PoolsOfModel[pool.Model] = append(snapshot.PoolsOfModel[pool.Model], pool)
	}
	snapshot.Drained = make(map[string]bool, len(document.Drains))
	for _, name := range document.Drains {
		snapshot.Drained[name] = true
	}
	return snapshot
}

func (s *Snapshot) indexTenants() {
	tenants := s.Document.Tenants
	s.TenantByName = make(map[identity.Tenant]*Tenant, len(tenants))
	s.Keys = make(tenant.Keys, len(tenants))
	for i := range tenants {
		declared := &tenants[i]
		s.TenantByName[declared.Name] = declared
		for _, hash := range declared.KeyHashes {
			if digest, err := tenant.ParseDigest(hash); err == nil { // a valid document has no other
				s.Keys[digest] = declared.Name
			}
		}
	}
}

func indexByName[T any](list []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(list))
	for i := range list {
		index[name(&list[i])] = &list[i]
	}
	return index
}

// sameList says whether both are the same list in memory.
func sameList[T any](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
