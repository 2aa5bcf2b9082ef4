// Package platformv1 is the HTTP/JSON protocol of the platform's services:
// weight store and machine list.
package platformv1

// Paths.
const (
	PathMachines = "/v1/machines" // GET: Machines
	PathWeights  = "/v1/weights/" // GET {model}/{version}/size: WeightSize; GET {model}/{version} streams
)

// Machine is one listed machine.
type Machine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // "daemon", "engine", "service"
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // "live", "leaving"
}

// Machines is the list.
type Machines struct {
	Machines []Machine `json:"machines"`
}

// WeightSize is the size of a model's version.
type WeightSize struct {
	Bytes int64 `json:"bytes"`
}
