// Package platformv1 defines the HTTP protocol of two services of the platform,
// the weight store and the machine list. Messages are JSON.
package platformv1

// Paths of the services.
const (
	PathMachines = "/v1/machines" // GET returns Machines
	PathWeights  = "/v1/weights/" // GET {model}/{version}/size returns a WeightSize; GET {model}/{version} streams the weights
)

// Machine is one entry of the machine list.
type Machine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // "daemon", "engine" or "service"
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // "live" or "leaving"
}

// Machines is the machine list.
type Machines struct {
	Machines []Machine `json:"machines"`
}

// WeightSize is the size of the weights of one version of a model.
type WeightSize struct {
	Bytes int64 `json:"bytes"`
}
