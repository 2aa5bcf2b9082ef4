// Package tenant identifies the tenant, that is the customer, to which a request belongs. It
// holds the tenants' keys, priorities and quotas.
//
// Guarantee: a Directory never changes. A new configuration comes with a new Directory, so that
// a request sees the keys, priorities and quotas of a single configuration revision.
package tenant

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Tenant is the configuration of one customer.
type Tenant struct {
	Name identity.Tenant
	Keys []Digest
	// Priority overrides the priority of the route if it is not nil. 0 is the highest.
	Priority *int
	Quota    Quota
}

// Quota limits the requests of a tenant at all daemons together.
type Quota struct {
	PerSecond float64 // requests per second; 0: no limit
	Burst     int     // additional requests in any window
}

// IsLimited reports whether the quota has a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Directory finds tenants by key. It is safe for concurrent use. The zero value and a nil
// pointer are empty directories.
type Directory struct {
	keys   Keys
	byName map[identity.Tenant]*Tenant
}

// NewDirectory returns a directory of the tenants. It takes ownership of the slice.
func NewDirectory(tenants []Tenant) *Directory {
	directory := &Directory{keys: Keys{}, byName: make(map[identity.Tenant]*Tenant, len(tenants))}
	for index := range tenants {
		tenant := &tenants[index]
		directory.byName[tenant.Name] = tenant
		for _, digest := range tenant.Keys {
			directory.keys[digest] = tenant.Name
		}
	}
	return directory
}

// RequiresKey reports whether requests need a key, which is the case if there are any tenants.
func (d *Directory) RequiresKey() bool { return d != nil && len(d.byName) > 0 }

// All returns the tenants by name. The caller must not change the map or the tenants.
func (d *Directory) All() map[identity.Tenant]*Tenant {
	if d == nil {
		return nil
	}
	return d.byName
}

// Find returns the tenant that owns the key with the digest, and whether there is one. The caller
// must not change the tenant.
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

// Scope prefixes a name that a tenant's callers chose, such as that of a turn or a program, so
// that equal names of different tenants do not collide. The prefix is a digest of the tenant's
// name, which has a fixed length and no separators. If the tenant or the name is empty, Scope
// returns the name unchanged.
func Scope(owner identity.Tenant, name string) string {
	if owner == "" || name == "" {
		return name
	}
	digest := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(string(owner)))
	return hex.EncodeToString(digest) + "." + name
}
