// Package identity defines the identifiers of machines, zones, processes, tenants, shards and
// programs. Names are plain strings and numbers plain integers, so that every protocol can carry
// them unchanged.
package identity

import (
	"crypto/rand"
	"encoding/base32"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Machine is the name of a machine. It stays the same when the daemon on it restarts.
type Machine string

// Zone is the name of a failure domain. The machines of a zone may fail or lose their network
// connection together.
type Zone string

// Region is the name of a group of zones that are close to each other in the network.
type Region string

// Incarnation distinguishes the successive processes on one machine. It is the start time in
// nanoseconds, so a later process has a larger number.
type Incarnation uint64

// Process is one run of a daemon on a machine. A process loses its state when it ends, so a
// restarted daemon is a new Process and never resumes the role of the previous one. The type is
// comparable and may be a map key.
type Process struct {
	Machine     Machine
	Incarnation Incarnation
	Address     string // address for other daemons, "ip:port"
	Zone        Zone
	Region      Region
}

// String returns "machine/incarnation", the form used in logs and errors.
func (p Process) String() string {
	return string(p.Machine) + "/" + strconv.FormatUint(uint64(p.Incarnation), 10)
}

// Tenant is the name of a customer. Every program belongs to exactly one tenant.
type Tenant string

// Shard is the number of a program log in the store. Every program is assigned to a shard.
// Shard 0 never holds programs.
type Shard uint32

// Program is the identifier of a program. It is issued by thymeloft, never by the caller, and
// cannot be guessed. The format is "p<shard in hex>-<26 random characters>".
type Program string

// ErrMalformedProgram is returned for a text that does not have the format of Program.
var ErrMalformedProgram = errors.New("malformed program identifier")

const (
	programRandomBytes  = 16
	programRandomLength = 26
)

var programEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// NewProgram returns a new random identifier on the shard.
func NewProgram(shard Shard) Program {
	var random [programRandomBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails since Go 1.24.
	return Program(fmt.Sprintf("p%04x-%s", uint32(shard), programEncoding.EncodeToString(random[:])))
}

// Shard returns the shard in the identifier. The error is ErrMalformedProgram if the identifier
// is malformed or names shard 0. Shard checks the number of the random characters, but not which
// characters they are.
func (p Program) Shard() (Shard, error) {
	head, random, found := strings.Cut(string(p), "-")
	if !found || len(head) < 2 || head[0] != 'p' || len(random) != programRandomLength {
		return 0, ErrMalformedProgram
	}
	number, err := strconv.ParseUint(head[1:], 16, 32)
	if err != nil || number == 0 {
		return 0, ErrMalformedProgram
	}
	return Shard(number), nil
}

// ShardOfCreation returns the shard for a new root program. It hashes the tenant and the
// creation key, so a repeated creation with the same key goes to the same shard and finds
// the program that the first one created. shardCount is the number of program shards, which are
// numbered from 1.
func ShardOfCreation(tenant Tenant, key string, shardCount uint32) Shard {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(tenant))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return Shard(digest.Sum64()%uint64(shardCount)) + 1
}
