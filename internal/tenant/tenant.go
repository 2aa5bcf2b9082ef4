// Package tenant says which customer a request belongs to: the owners of keys, and
// what is agreed with each customer.
//
// Guarantee: a Directory never changes; it is replaced whole with the configuration
// that it is a part of, so that a request sees the keys, priorities and quotas of
// one revision.
package tenant

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Tenant is a customer as its requests meet it.
type Tenant struct {
	Name identity.Tenant
	Keys []Digest
	// Priority goes before that of a route; 0 is the highest. Nil: the route's holds.
	Priority *int
	Quota    Quota
}

// Quota is what a tenant may ask of the whole fleet.
type Quota struct {
	PerSecond float64 // requests a second; 0: no limit
	Burst     int     // requests on top of that in any window
}

// Limited tells whether there is a limit at all.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Directory finds tenants by key. The zero value and nil hold none.
type Directory struct {
	keys   Keys
	byName map[identity.Tenant]*Tenant
}

// NewDirectory makes a directory. The tenants belong to it from then on.
func NewDirectory(tenants []Tenant) *Directory {
	made := &Directory{keys: Keys{}, byName: make(map[identity.Tenant]*Tenant, len(tenants))}
	for index := range tenants {
		each := &tenants[index]
		made.byName[each.Name] = each
		for _, digest := range each.Keys {
			made.keys[digest] = each.Name
		}
	}
	return made
}

// Demanded tells whether requests need a key at all.
func (d *Directory) Demanded() bool { return d != nil && len(d.byName) > 0 }

// All gives the tenants by name; it is not to be changed.
func (d *Directory) All() map[identity.Tenant]*Tenant {
	if d == nil {
		return nil
	}
	return d.byName
}

// Find returns the tenant that holds a key.
func (d *Directory) Find(digest Digest) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	owner, found := d.keys.Owner(digest)
	if !found {
		return nil, false
	}
	return d.byName[owner], true
}

// Scope makes the name of something that a tenant's callers chose (a turn, a
// program) the tenant's own, so that the same name of another tenant is another
// thing. The prefix is a digest of the tenant's name, of one length and without
// separators. Without a tenant, or a name, the name stays as it is.
func Scope(owner identity.Tenant, name string) string {
	if owner == "" || name == "" {
		return name
	}
	digest := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(string(owner)))
	return hex.EncodeToString(digest) + "." + name
}
