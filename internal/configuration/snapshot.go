package configuration

import (
	"net/url"
	"slices"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Snapshot is one revision of the document, with indexes. It must not be modified
// and is safe for concurrent use.
type Snapshot struct {
	Revision      uint64
	Document      Document
	Keys          tenant.Keys // owner of each caller's key
	TenantByName  map[identity.Tenant]*Tenant
	EngineByName  map[string]*Engine
	ModelByName   map[string]*Model
	ServiceByName map[string]*Service
	PoolsOfModel  map[string][]*Pool // by model name
	Drained       map[string]bool    // the entries of Document.Drains
}

// NewSnapshot returns a snapshot of the normalized document with its indexes. The
// document must be valid.
func NewSnapshot(revision uint64, document Document) *Snapshot {
	return buildIndexes(revision, Normalize(&document), nil)
}

// WithDifference returns a new snapshot with the difference applied; its revision is the
// To of the difference. Lists that the difference does not change are shared with
// the original snapshot, as are the indexes of unchanged tenants and engines.
func (s *Snapshot) WithDifference(difference *Difference) *Snapshot {
	return buildIndexes(difference.To, Patch(&s.Document, difference), s)
}

// DocumentAt returns the document of this or an earlier revision, by reverting the
// changes of the history. The history must be sorted newest first. DocumentAt
// returns false if the history does not cover all changes between the two revisions.
func (s *Snapshot) DocumentAt(revision uint64, history []Revision) (Document, bool) {
	document, current := s.Document, s.Revision
	for i := range history {
		if current == revision {
			break
		}
		if history[i].Number == current {
			document = Patch(&document, &history[i].Reverse)
			current = history[i].Reverse.To
		}
	}
	return document, current == revision
}

// Preview returns the document that a partial change of this revision would lead
// to, and the faults for which the change would be rejected. The document is empty
// if the change cannot be applied at all.
func (s *Snapshot) Preview(partial *Difference) (Document, []string) {
	if faults := checkPartial(partial, &s.Document); len(faults) > 0 {
		return Document{}, faults
	}
	document := Patch(&s.Document, partial)
	return document, Validate(&document)
}

// HasDrainTarget reports whether the drain matches a declared engine or service: by its
// name, or by the base URL, "host:port" or host of one of its addresses.
func (s *Snapshot) HasDrainTarget(drain string) bool {
	if s.EngineByName[drain] != nil || s.ServiceByName[drain] != nil {
		return true
	}
	for i := range s.Document.Engines {
		if matchesAddress(s.Document.Engines[i].Address, drain) {
			return true
		}
	}
	for i := range s.Document.Services {
		if slices.ContainsFunc(s.Document.Services[i].Addresses, func(address string) bool { return matchesAddress(address, drain) }) {
			return true
		}
	}
	return false
}

func matchesAddress(address, drain string) bool {
	parsed, err := url.Parse(address)
	return err == nil && (address == drain || parsed.Host == drain || parsed.Hostname() == drain)
}

// buildIndexes returns a snapshot of a document in normal form. It reuses the tenant
// and engine indexes of the previous snapshot, which may be nil, if the lists are
// unchanged.
func buildIndexes(revision uint64, document Document, previous *Snapshot) *Snapshot {
	snapshot := &Snapshot{Revision: revision, Document: document}
	if previous == nil {
		previous = &Snapshot{}
	}
	snapshot.TenantByName, snapshot.Keys = previous.TenantByName, previous.Keys
	if previous.TenantByName == nil || !isSameList(document.Tenants, previous.Document.Tenants) {
		snapshot.indexTenants()
	}
	snapshot.EngineByName = previous.EngineByName
	if previous.EngineByName == nil || !isSameList(document.Engines, previous.Document.Engines) {
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
		item := &tenants[i]
		s.TenantByName[item.Name] = item
		for _, hash := range item.KeyHashes {
			if digest, err := tenant.ParseDigest(hash); err == nil { // always nil in a valid document
				s.Keys[digest] = item.Name
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

// isSameList reports whether both slices have the same length and backing array.
// Two empty slices are the same list.
func isSameList[T any](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}
