package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Digest is the SHA-256 of a caller's key. Keys themselves are never kept, so that
// none can reach a log, a metric, an error or a dump.
type Digest [sha256.Size]byte

// DigestOf gives the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest in lower-case hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) || hex.EncodeToString(decoded) != text {
		return digest, eris.Errorf("%d characters are not the SHA-256 of a key in lower-case hex digits", len(text))
	}
	return Digest(decoded), nil
}

// String is the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Keys says whose each key is. It is filled once and then only read.
//
// A lookup compares digests, which a caller can't steer towards a key: its time
// tells nothing about the keys that there are.
type Keys map[Digest]identity.Tenant

// Owner returns the tenant of the key with that digest.
func (k Keys) Owner(digest Digest) (identity.Tenant, bool) {
	owner, found := k[digest]
	return owner, found
}
