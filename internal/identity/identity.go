// Package identity names machines, zones and programs. The types are plain
// strings on the wire, so that every protocol carries them unchanged.
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

// Machine names one machine; it stays the same when its process restarts.
type Machine string

// Zone names a failure domain; machines of one zone may fail or be cut off together.
type Zone string

// Region names a group of zones that are close to each other.
type Region string

// Incarnation tells apart the processes that ran on one machine, one after the
// other. A later process has the larger number (start time in nanoseconds).
type Incarnation uint64

// Process is one run of a daemon on a machine. Processes keep nothing when
// they end, so a restarted machine is a new Process and never acts as its
// former self. The type is comparable and may be a map key.
type Process struct {
	Machine     Machine
	Incarnation Incarnation
	Address     string // peer address, "ip:port"
	Zone        Zone
	Region      Region
}

// String gives "machine/incarnation", the form used in logs and errors.
func (p Process) String() string {
	return string(p.Machine) + "/" + strconv.FormatUint(uint64(p.Incarnation), 10)
}

// Tenant names a customer. Every program belongs to exactly one tenant.
type Tenant string

// Shard numbers a log of programs in the store; programs hash to shards. Shard
// 0 never holds programs.
type Shard uint32

// Program is the identifier of a program, issued by thymeloft, never by the
// caller: "p<shard in hex>-<26 random characters>". It cannot be guessed.
type Program string

// ErrMalformedProgram is returned for text that thymeloft never issued.
var ErrMalformedProgram = errors.New("malformed program identifier")

const (
	programRandomBytes  = 16
	programRandomLength = 26
)

var programEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// NewProgram issues an identifier on the shard.
func NewProgram(shard Shard) Program {
	var random [programRandomBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails since Go 1.24.
	return Program(fmt.Sprintf("p%04x-%s", uint32(shard), programEncoding.EncodeToString(random[:])))
}

// Shard reads the shard out of the identifier, or returns ErrMalformedProgram.
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

// ShardOfCreation gives the shard of a new root program: a repeated creation
// with the same key of the same tenant hashes to the same shard and there
// finds the first. shardCount counts program shards (numbered from 1).
func ShardOfCreation(tenant Tenant, key string, shardCount uint32) Shard {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(tenant))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return Shard(digest.Sum64()%uint64(shardCount)) + 1
}
