package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Digest is the SHA-256 hash of a caller's API key. The keys themselves are never stored, so
// that they cannot appear in logs, metrics, errors or dumps.
type Digest [sha256.Size]byte

// HashKey returns the digest of a key.
func HashKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in lower-case hexadecimal. Its error does not repeat the text,
// which may be a key.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) || hex.EncodeToString(decoded) != text {
		return digest, eris.Errorf("a text of %d characters is not a SHA-256 digest in lower-case hexadecimal", len(text))
	}
	return Digest(decoded), nil
}

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Keys maps the digests of keys to their tenants. It is filled once and then only read.
//
// The duration of a lookup reveals nothing about the existing keys, because it compares digests
// and a caller cannot choose a key with a given digest.
type Keys map[Digest]identity.Tenant

// Owner returns the tenant of the key with the digest, and whether there is one.
func (k Keys) Owner(digest Digest) (identity.Tenant, bool) {
	owner, found := k[digest]
	return owner, found
}
