// Package engineloss limits how many engines may end under one piece of work.
//
// A piece of work is what several attempts of a caller have in common: the same request, repeated, sent
// anew, or taken up in its middle, at whatever gateway.
package engineloss

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies a piece of work.
type Digest [16]byte

// String returns the digest as it is logged.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Work is a piece of work.
type Work struct {
	Digest Digest
	// Key selects the daemons that hold the record of the work. It is the program, or the digest if the
	// work belongs to no program.
	Key string
}

// Description is what the attempts at a piece of work have in common. Identifiers of attempts, deadlines
// and the position in a stream differ between them and are not part of it.
type Description struct {
	Tenant   string
	Program  string // scoped by the tenant
	Session  string
	Previous string // the turn that the work continues
	Method   string
	Host     string
	Target   string // path and query
	Body     []byte
}

// WorkOf returns the work of an attempt. The digest tells nothing of the content, since it is cut short
// and covers the identifiers too.
func WorkOf(description Description) Work {
	body := sha256.Sum256(description.Body)
	const typicalLength = 256
	encoded := make([]byte, 0, typicalLength)
	for _, field := range []string{
		description.Tenant, description.Program, description.Session, description.Previous,
		description.Method, description.Host, description.Target,
	} {
		// Lengths keep adjacent fields apart.
		encoded = binary.AppendUvarint(encoded, uint64(len(field)))
		encoded = append(encoded, field...)
	}
	digest := sha256.Sum256(append(encoded, body[:]...))
	work := Work{Digest: Digest(digest[:len(Digest{})]), Key: description.Program}
	if work.Key == "" {
		work.Key = string(work.Digest[:])
	}
	return work
}
