package fleet

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
)

const (
	startTimeout    = 60 * time.Second
	firstIdentifier = "lab-first-configuration"
)

// Operator is a client of the operators' calls at one daemon.
func (f *Fleet) Operator(daemon *Daemon) operatorv1connect.OperatorServiceClient {
	key := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+operatorKey)
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			return next(ctx, request)
		}
	})
	client := &http.Client{Transport: f.HTTP.Transport}
	return operatorv1connect.NewOperatorServiceClient(client, daemon.OperatorURL(), connect.WithInterceptors(key))
}

// Status is what a daemon knows of members, groups and engines.
func (f *Fleet) Status(ctx context.Context, daemon *Daemon) (*operatorv1.GetStatusResponse, error) {
	reply, err := f.Operator(daemon).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return nil, eris.Wrapf(err, "status of %s", daemon.Name)
	}
	return reply.Msg, nil
}

// Leader finds the daemon that leads the group.
func (f *Fleet) Leader(ctx context.Context, shard uint32) (*Daemon, error) {
	group, err := f.group(ctx, shard)
	if err != nil {
		return nil, err
	}
	return f.Daemon(group.Leader), nil
}

// Successor finds a daemon that runs and does not lead the group: one of those
// that may lead it next.
func (f *Fleet) Successor(ctx context.Context, shard uint32) (*Daemon, error) {
	group, err := f.group(ctx, shard)
	if err != nil {
		return nil, err
	}
	for _, daemon := range f.Daemons {
		if daemon.Alive() && daemon.Name != group.Leader {
			return daemon, nil
		}
	}
	return nil, eris.Errorf("nobody but %s may lead group %d", group.Leader, shard)
}

// group finds the group's state, by asking those alive. The highest term is
// believed.
func (f *Fleet) group(ctx context.Context, shard uint32) (*operatorv1.Group, error) {
	var best *operatorv1.Group
	for _, daemon := range f.Daemons {
		if !daemon.Alive() {
			continue
		}
		status, err := f.Status(ctx, daemon)
		if err != nil {
			continue
		}
		for _, group := range status.Groups {
			if group.Shard == shard && group.Normal && group.Leader != "" && later(group, best) {
				best = group
			}
		}
	}
	if best == nil || f.Daemon(best.Leader) == nil {
		return nil, eris.Errorf("no leader of group %d is known", shard)
	}
	return best, nil
}

func later(group, than *operatorv1.Group) bool { return than == nil || group.Epoch > than.Epoch }

// configure applies the deployment's configuration and waits until every
// daemon has it in force, leads or follows its groups and sees all engines.
func (f *Fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var revision uint64
	err := until(ctx, func() error {
		var err error
		revision, err = f.Apply(ctx, f.Daemons[0], firstIdentifier, 0, f.Document())
		return err
	})
	if err != nil {
		return f.explain(err)
	}
	for _, daemon := range f.Daemons {
		if err := until(ctx, func() error { return f.ready(ctx, daemon, revision) }); err != nil {
			return f.explain(err)
		}
	}
	return nil
}

// Apply makes a change of the whole document at a daemon.
func (f *Fleet) Apply(ctx context.Context, daemon *Daemon, identifier string, base uint64, document *operatorv1.Document) (uint64, error) {
	reply, err := f.Operator(daemon).ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: identifier,
		BaseRevision:     base,
		Content:          &operatorv1.ApplyConfigurationRequest_Document{Document: document},
	}))
	if err != nil {
		return 0, eris.Wrapf(err, "apply configuration at %s", daemon.Name)
	}
	return reply.Msg.Revision, nil
}

func (f *Fleet) ready(ctx context.Context, daemon *Daemon, revision uint64) error {
	status, err := f.Status(ctx, daemon)
	if err != nil {
		return err
	}
	if status.ConfigurationRevision < revision || !status.ConfigurationConfirmed {
		return eris.Errorf("%s has revision %d, confirmed %t", daemon.Name, status.ConfigurationRevision, status.ConfigurationConfirmed)
	}
	accepting := 0
	for _, engine := range status.Engines {
		if engine.Accepting {
			accepting++
		}
	}
	if accepting < len(f.Engines) {
		return eris.Errorf("%s sees %d of %d engines accepting", daemon.Name, accepting, len(f.Engines))
	}
	for _, group := range status.Groups {
		if !group.Normal || group.Leader == "" {
			return eris.Errorf("%s has no leader for group %d", daemon.Name, group.Shard)
		}
	}
	return nil
}

// explain adds the ends of the daemons' logs to an error.
func (f *Fleet) explain(err error) error {
	const lines = 15
	for _, daemon := range f.Daemons {
		err = eris.Wrapf(err, "log of %s:\n%s\n", daemon.Name, daemon.LogTail(lines))
	}
	return err
}

// Document is the configuration of the deployment.
func (f *Fleet) Document() *operatorv1.Document {
	document := &operatorv1.Document{}
	for _, tenant := range f.Deployment.Tenants {
		document.Tenants = append(document.Tenants, &operatorv1.Tenant{
			Name:        tenant.Name,
			KeyHashes:   []string{keyHash(TenantKey(tenant.Name))},
			TokenBudget: tenant.TokenBudget,
			MaxTurns:    tenant.MaxTurns,
			Idle:        durationpb.New(tenant.Idle),
		})
	}
	for _, model := range f.Deployment.Models {
		document.Models = append(document.Models, &operatorv1.Model{Name: model.Name, Version: modelVersion, Adapters: model.Adapters})
		pool := &operatorv1.Pool{Name: model.Name, Model: model.Name}
		for _, engine := range f.Engines {
			if engine.Model == model.Name {
				pool.Engines = append(pool.Engines, engine.Name)
			}
		}
		document.Pools = append(document.Pools, pool)
	}
	for _, engine := range f.Engines {
		document.Engines = append(document.Engines, &operatorv1.Engine{
			Name: engine.Name, Address: engine.URL, Zone: engine.Zone, Generation: engine.Generation,
		})
	}
	for _, service := range f.Deployment.Services {
		document.Services = append(document.Services, f.service(service))
	}
	return document
}

func (f *Fleet) service(service Service) *operatorv1.Service {
	described := &operatorv1.Service{Name: service.Name, Kind: operatorv1.ServiceKind_SERVICE_KIND_SERVICE}
	if service.Kind == kindTool {
		described.Kind = operatorv1.ServiceKind_SERVICE_KIND_TOOL
	}
	if service.Timeout > 0 {
		described.Timeout = durationpb.New(service.Timeout)
	}
	for _, replica := range f.Replicas {
		if replica.Of == service.Name {
			described.Addresses = append(described.Addresses, replica.URL)
		}
	}
	return described
}
