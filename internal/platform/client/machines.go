package client

import (
	"context"
	"net/http"
	"net/url"

	platformv1 "github.com/thymeloft/thymeloft/api/platform/v1"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// Machines is a client of the machine list. It implements platform.Machines.
type Machines struct{ service *service }

var _ platform.Machines = (*Machines)(nil)

// NewMachines returns a client of the machine list at the base URL. A nil HTTP client
// means http.DefaultClient.
func NewMachines(url string, client *http.Client, options ...Option) *Machines {
	return &Machines{service: newService("machine list", url, client, options)}
}

// List implements platform.Machines.
func (m *Machines) List(ctx context.Context) ([]platform.ListedMachine, error) {
	var reply platformv1.Machines
	if err := m.service.read(ctx, "list machines", platformv1.PathMachines, &reply); err != nil {
		return nil, err
	}
	listed := make([]platform.ListedMachine, 0, len(reply.Machines))
	for _, machine := range reply.Machines {
		listed = append(listed, platform.ListedMachine{
			Name:    identity.Machine(machine.Name),
			Kind:    platform.MachineKind(machine.Kind),
			Address: machine.Address,
			Zone:    identity.Zone(machine.Zone),
			State:   platform.MachineState(machine.State),
		})
	}
	return listed, nil
}

// Weights is a client of the weight store. It implements platform.Weights.
type Weights struct{ service *service }

var _ platform.Weights = (*Weights)(nil)

// NewWeights returns a client of the weight store at the base URL. A nil HTTP client
// means http.DefaultClient.
func NewWeights(url string, client *http.Client, options ...Option) *Weights {
	return &Weights{service: newService("weight store", url, client, options)}
}

// Size implements platform.Weights.
func (w *Weights) Size(ctx context.Context, model, version string) (int64, error) {
	var size platformv1.WeightSize
	path := platformv1.PathWeights + url.PathEscape(model) + "/" + url.PathEscape(version) + "/size"
	err := w.service.read(ctx, "size of weights", path, &size)
	return size.Bytes, err
}
