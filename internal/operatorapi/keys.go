package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// hashPrefixDigits is the length of the hash prefix, in hex digits, that names an
// operator if the key has no name.
const hashPrefixDigits = 8

// hashedKey is the hash of an operator's key, and the operator's name.
type hashedKey struct {
	operator string
	hash     [sha256.Size]byte
}

// CheckKeys returns a description of each malformed key. The format of a key is
// described at Options.Keys.
func CheckKeys(texts []string) []string {
	var faults []string
	for i, text := range texts {
		if _, err := parseKey(text); err != nil {
			faults = append(faults, fmt.Sprintf("operator key %d: %v", i+1, err))
		}
	}
	return faults
}

// parseKeys returns the well-formed keys and ignores the others.
func parseKeys(texts []string) []hashedKey {
	keys := make([]hashedKey, 0, len(texts))
	for _, text := range texts {
		if parsed, err := parseKey(text); err == nil {
			keys = append(keys, parsed)
		}
	}
	return keys
}

func parseKey(text string) (hashedKey, error) {
	operator, hexHash, hasName := strings.Cut(text, ":")
	if !hasName {
		operator, hexHash = "", text
	}
	decoded, err := hex.DecodeString(hexHash)
	if err != nil || len(decoded) != sha256.Size {
		return hashedKey{}, fmt.Errorf("the hash must be a SHA-256 in %d hex digits", 2*sha256.Size)
	}
	if operator == "" {
		operator = "key-" + hexHash[:hashPrefixDigits]
	}
	parsed := hashedKey{operator: operator}
	copy(parsed.hash[:], decoded)
	return parsed, nil
}

// matchKey returns the name of the operator whose key was presented. The time it
// takes does not depend on which key matches.
func matchKey(keys []hashedKey, presented string) (operator string, known bool) {
	hash := sha256.Sum256([]byte(presented))
	for i := range keys {
		if subtle.ConstantTimeCompare(hash[:], keys[i].hash[:]) == 1 {
			operator, known = keys[i].operator, true
		}
	}
	return operator, known
}
