package engine

import (
	"sync/atomic"
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
)

// trackedEngine is a declared engine with the state that this daemon stores for it. When the
// declaration changes, a new trackedEngine replaces it.
type trackedEngine struct {
	declared   configuration.Engine
	endpoint   string // "host:port" of the declared address
	declaredAt time.Time
	client     client
	placements placementCounts
	health     health
	report     atomic.Pointer[report]
	releases   *releaseQueue
}

// report is the latest digest of an engine.
type report struct {
	digest   Digest
	checksum uint16 // staticChecksum of the digest
	received time.Time
}

// engineTable is an immutable table of declared engines. engines, index and byHash contain the
// engines of this region and of zones whose region is unknown.
type engineTable struct {
	engines []*trackedEngine          // sorted by name
	byName  map[string]*trackedEngine // engines of all regions
	index   map[string]int            // position in engines by name
	byHash  map[uint64]*trackedEngine // key: nameHash of the name
}

// accept stores the digest and returns true if it is newer than the known one. A digest with a
// higher fencing token is newer, since it comes from a later supervisor; of digests with the
// same token, the one with the higher sequence number is newer. It is safe for concurrent use.
func (t *trackedEngine) accept(digest Digest, checksum uint16, received time.Time) bool {
	for {
		known := t.report.Load()
		if known != nil && !isNewer(&digest, &known.digest) {
			return false
		}
		if t.report.CompareAndSwap(known, &report{digest: digest, checksum: checksum, received: received}) {
			t.placements.advanceGeneration()
			return true
		}
	}
}

func isNewer(digest, known *Digest) bool {
	if digest.Fence != known.Fence {
		return digest.Fence > known.Fence
	}
	return digest.Sequence > known.Sequence
}

// digestOf returns the digest of a state that the engine reported.
func digestOf(name string, state *enginev1.EngineState, sequence uint64) Digest {
	return Digest{
		Engine:        name,
		Fence:         state.Fence,
		Sequence:      sequence,
		Model:         state.Model,
		Version:       state.Version,
		Adapters:      state.Adapters,
		Running:       state.Running,
		Waiting:       state.Waiting,
		WaitingTokens: state.WaitingTokens,
		CacheUsed:     state.CacheUsed,
		CacheTokens:   state.CacheTokens,
		PrefillPerSec: state.PrefillPerSec,
		DecodePerSec:  state.DecodePerSec,
		MaxRunning:    state.MaxRunning,
		Serving:       state.Role == RoleServe && !state.Loading,
		Role:          state.Role,
		Loading:       state.Loading,
	}
}

// Roles of an engine, as in enginev1.Order.
const (
	RoleServe   = "serve"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleDrained = "drained"
)
