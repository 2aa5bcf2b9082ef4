package client

import (
	"context"
	"net/http"
	"net/url"

	platformv1 "github.com/thymeloft/thymeloft/api/platform/v1"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// MachineList is a client of the machine list. It implements platform.MachineList.
type MachineList struct{ service *service }

var _ platform.MachineList = (*MachineList)(nil)

// NewMachineList returns a client of the machine list at the base URL. A nil HTTP client
// means http.DefaultClient.
func NewMachineList(url string, client *http.Client, options ...Option) *MachineList {
	return &MachineList{service: newService("machine list", url, client, options)}
}

// List implements platform.MachineList.
func (m *MachineList) List(ctx context.Context) ([]platform.Machine, error) {
	var reply platformv1.Machines
	if err := m.service.read(ctx, "list machines", platformv1.PathMachines, &reply); err != nil {
		return nil, err
	}
	listed := make([]platform.Machine, 0, len(reply.Machines))
	for _, machine := range reply.Machines {
		listed = append(listed, platform.Machine{
			Name:    identity.Machine(machine.Name),
			Kind:    platform.MachineKind(machine.Kind),
			Address: machine.Address,
			Zone:    identity.Zone(machine.Zone),
			State:   platform.MachineState(machine.State),
		})
	}
	return listed, nil
}

// WeightStore is a client of the weight store. It implements platform.WeightStore.
type WeightStore struct{ service *service }

var _ platform.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at the base URL. A nil HTTP client
// means http.DefaultClient.
func NewWeightStore(url string, client *http.Client, options ...Option) *WeightStore {
	return &WeightStore{service: newService("weight store", url, client, options)}
}

// Size implements platform.WeightStore.
func (w *WeightStore) Size(ctx context.Context, model, version string) (int64, error) {
	var size platformv1.WeightSize
	path := platformv1.PathWeights + url.PathEscape(model) + "/" + url.PathEscape(version) + "/size"
	err := w.service.read(ctx, "size of weights", path, &size)
	return size.Bytes, err
}
