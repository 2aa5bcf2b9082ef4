package workload

import (
	"fmt"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// generation is the hardware generation of an engine. Its fields have the same
// units as those of Engine.
type generation struct {
	name          string
	prefillPerSec float64
	decodePerSec  float64
	maxRunning    int
	cacheTokens   int64
}

var (
	generationOld    = generation{name: "g1", prefillPerSec: 2500, decodePerSec: 28, maxRunning: 8, cacheTokens: 120_000}
	generationMiddle = generation{name: "g2", prefillPerSec: 6000, decodePerSec: 45, maxRunning: 16, cacheTokens: 300_000}
	generationNew    = generation{name: "g3", prefillPerSec: 14_000, decodePerSec: 75, maxRunning: 32, cacheTokens: 700_000}
)

// mixedFleet returns four engines of the old, three of the middle and three of the
// new generation. The engines are assigned to the zones in turn.
func mixedFleet(name string, zones []identity.Zone) []Engine {
	generations := []generation{
		generationOld, generationMiddle, generationNew, generationOld, generationMiddle,
		generationNew, generationOld, generationMiddle, generationNew, generationOld,
	}
	engines := make([]Engine, 0, len(generations))
	for index, kind := range generations {
		engines = append(engines, Engine{
			ID:            fmt.Sprintf("%s-%02d", name, index+1),
			Zone:          zones[index%len(zones)],
			Generation:    kind.name,
			PrefillPerSec: kind.prefillPerSec,
			DecodePerSec:  kind.decodePerSec,
			MaxRunning:    kind.maxRunning,
			CacheTokens:   kind.cacheTokens,
		})
	}
	return engines
}
