package operatorapi

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// revisionsWait bounds the reading of other daemons' revisions; a status is of
// most use while the store does not answer.
const revisionsWait = time.Second

var memberStates = map[members.State]operatorv1.MemberState{
	members.StateAlive:   operatorv1.MemberState_MEMBER_STATE_ALIVE,
	members.StateLeaving: operatorv1.MemberState_MEMBER_STATE_LEAVING,
	members.StateDead:    operatorv1.MemberState_MEMBER_STATE_DEAD,
}

// GetStatus returns what this daemon knows, and the revisions that the others
// told the store with their leases. It asks no other daemon.
func (s *service) GetStatus(ctx context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	current := s.Administrator.Current()
	response := &operatorv1.GetStatusResponse{
		Machine:                string(s.Directory.Self().Machine),
		Incarnation:            uint64(s.Directory.Self().Incarnation),
		ConfigurationRevision:  current.Revision,
		ConfigurationConfirmed: s.Administrator.Confirmed(),
	}
	reading, cancel := context.WithTimeout(ctx, revisionsWait)
	defer cancel()
	revisions, err := s.Revisions(reading)
	if err != nil {
		s.Logger.Warn("operatorapi: revisions of other daemons not read; they are shown as 0.", zap.Error(err))
	}
	listed := s.Directory.View().Members
	for i := range listed {
		member := memberToSchema(&listed[i])
		member.ConfigurationRevision = revisions[listed[i].Process.Machine]
		response.Members = append(response.Members, member)
	}
	for _, status := range s.Groups.Status() {
		response.Groups = append(response.Groups, groupToSchema(&status))
	}
	engines := s.Fleet.Snapshot().Engines
	for i := range engines {
		response.Engines = append(response.Engines, engineToSchema(&engines[i], current))
	}
	return connect.NewResponse(response), nil
}

func memberToSchema(member *members.Member) *operatorv1.Member {
	return &operatorv1.Member{
		Machine:       string(member.Process.Machine),
		Incarnation:   uint64(member.Process.Incarnation),
		PeerAddress:   member.Process.Address,
		CallerAddress: member.CallerAddress,
		Zone:          string(member.Process.Zone),
		Region:        string(member.Process.Region),
		State:         memberStates[member.State],
	}
}

func groupToSchema(status *shards.Status) *operatorv1.Group {
	group := &operatorv1.Group{
		Shard:     uint32(status.Shard),
		Epoch:     uint64(status.Term),
		Leader:    string(status.Leader.Machine),
		Committed: status.CommittedIndex,
		Normal:    status.Leader.Machine != "",
	}
	if group.Normal {
		group.Replicas = []string{string(status.Leader.Machine)}
		group.ReplicaIncarnations = []uint64{uint64(status.Leader.Incarnation)}
	}
	return group
}

func engineToSchema(engine *scheduling.Engine, current *configuration.Snapshot) *operatorv1.EngineStatus {
	return &operatorv1.EngineStatus{
		Name:          engine.ID,
		Address:       engine.Address,
		Zone:          string(engine.Zone),
		Generation:    engine.Generation,
		Model:         engine.Model,
		Version:       engine.Version,
		Adapters:      engine.Adapters,
		Running:       int64(engine.Running),
		Waiting:       int64(engine.Waiting),
		Accepting:     engine.Accepting,
		Probing:       engine.Probing,
		Drained:       current.Drained[engine.ID],
		ErrorRate:     engine.ErrorRate,
		ReportAge:     convert.Duration(engine.ReportAge),
		CacheUsed:     engine.CacheUsed,
		CacheCapacity: engine.CacheTokens,
	}
}
