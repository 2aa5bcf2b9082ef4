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
	startTimeout          = 60 * time.Second
	firstChangeIdentifier = "lab-first-configuration"
)

// Operator returns an authenticated client of the operator API of the daemon.
// Each call has a timeout of requestTimeout.
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

// Status returns what the daemon knows of members, groups and engines.
func (f *Fleet) Status(ctx context.Context, daemon *Daemon) (*operatorv1.GetStatusResponse, error) {
	reply, err := f.Operator(daemon).GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return nil, eris.Wrapf(err, "get status of daemon %s", daemon.Name)
	}
	return reply.Msg, nil
}

// Leader returns the daemon that leads the group of the shard, or an error if no
// running daemon knows a leader.
func (f *Fleet) Leader(ctx context.Context, shard uint32) (*Daemon, error) {
	group, err := f.findGroup(ctx, shard)
	if err != nil {
		return nil, err
	}
	return f.Daemon(group.Leader), nil
}

// Successor returns a running daemon that doesn't lead the group of the shard and
// so may lead it next.
func (f *Fleet) Successor(ctx context.Context, shard uint32) (*Daemon, error) {
	group, err := f.findGroup(ctx, shard)
	if err != nil {
		return nil, err
	}
	for _, daemon := range f.Daemons {
		if daemon.IsRunning() && daemon.Name != group.Leader {
			return daemon, nil
		}
	}
	return nil, eris.Errorf("no running daemon other than %s can lead group %d", group.Leader, shard)
}

// findGroup asks the running daemons for the group of the shard and returns the
// answer with the highest epoch. It ignores answers in which the group is not
// normal or has no leader.
func (f *Fleet) findGroup(ctx context.Context, shard uint32) (*operatorv1.Group, error) {
	var newest *operatorv1.Group
	for _, daemon := range f.Daemons {
		if !daemon.IsRunning() {
			continue
		}
		status, err := f.Status(ctx, daemon)
		if err != nil {
			continue
		}
		for _, group := range status.Groups {
			if group.Shard == shard && group.Normal && group.Leader != "" && isNewer(group, newest) {
				newest = group
			}
		}
	}
	if newest == nil || f.Daemon(newest.Leader) == nil {
		return nil, eris.Errorf("no leader of group %d is known", shard)
	}
	return newest, nil
}

// isNewer reports whether the group has a higher epoch than the other one, which
// may be nil.
func isNewer(group, other *operatorv1.Group) bool { return other == nil || group.Epoch > other.Epoch }

// configure applies the deployment's configuration and waits until checkReady
// succeeds for every daemon, for at most startTimeout.
func (f *Fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var revision uint64
	err := retry(ctx, func() error {
		var err error
		revision, err = f.Apply(ctx, f.Daemons[0], firstChangeIdentifier, 0, f.Document())
		return err
	})
	if err != nil {
		return f.addLogs(err)
	}
	for _, daemon := range f.Daemons {
		if err := retry(ctx, func() error { return f.checkReady(ctx, daemon, revision) }); err != nil {
			return f.addLogs(err)
		}
	}
	return nil
}

// Apply replaces the whole configuration document through the daemon and returns
// the new revision. Calls with the same identifier count as one change. base is
// the revision that the document replaces.
func (f *Fleet) Apply(ctx context.Context, daemon *Daemon, identifier string, base uint64, document *operatorv1.Document) (uint64, error) {
	reply, err := f.Operator(daemon).ApplyConfiguration(ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: identifier,
		BaseRevision:     base,
		Content:          &operatorv1.ApplyConfigurationRequest_Document{Document: document},
	}))
	if err != nil {
		return 0, eris.Wrapf(err, "apply configuration at daemon %s", daemon.Name)
	}
	return reply.Msg.Revision, nil
}

// checkReady returns an error unless the daemon has confirmed the configuration
// revision or a later one, reports all engines as accepting requests, and reports
// each of its groups as normal with a leader.
func (f *Fleet) checkReady(ctx context.Context, daemon *Daemon, revision uint64) error {
	status, err := f.Status(ctx, daemon)
	if err != nil {
		return err
	}
	if status.ConfigurationRevision < revision || !status.ConfigurationConfirmed {
		return eris.Errorf("daemon %s does not have the applied configuration yet: revision %d (confirmed: %t)", daemon.Name, status.ConfigurationRevision, status.ConfigurationConfirmed)
	}
	accepting := 0
	for _, engine := range status.Engines {
		if engine.Accepting {
			accepting++
		}
	}
	if accepting < len(f.Engines) {
		return eris.Errorf("daemon %s reports %d of %d engines as accepting requests", daemon.Name, accepting, len(f.Engines))
	}
	for _, group := range status.Groups {
		if !group.Normal || group.Leader == "" {
			return eris.Errorf("daemon %s reports group %d as not normal or without a leader", daemon.Name, group.Shard)
		}
	}
	return nil
}

// addLogs wraps the error with the last lines of each daemon's log.
func (f *Fleet) addLogs(err error) error {
	const lines = 15
	for _, daemon := range f.Daemons {
		err = eris.Wrapf(err, "log of %s:\n%s\n", daemon.Name, daemon.LogTail(lines))
	}
	return err
}

// Document returns the configuration document of the deployment.
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
		document.Services = append(document.Services, f.serviceDocument(service))
	}
	return document
}

func (f *Fleet) serviceDocument(service Service) *operatorv1.Service {
	document := &operatorv1.Service{Name: service.Name, Kind: operatorv1.ServiceKind_SERVICE_KIND_SERVICE}
	if service.Kind == kindTool {
		document.Kind = operatorv1.ServiceKind_SERVICE_KIND_TOOL
	}
	if service.Timeout > 0 {
		document.Timeout = durationpb.New(service.Timeout)
	}
	for _, replica := range f.Replicas {
		if replica.ServiceName == service.Name {
			document.Addresses = append(document.Addresses, replica.URL)
		}
	}
	return document
}
