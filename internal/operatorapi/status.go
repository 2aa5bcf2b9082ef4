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

// revisionsTimeout limits the time to read the revisions of all daemons from the
// store. It is short because a status is needed most while the store is down.
const revisionsTimeout = time.Second

var memberStates = map[members.State]operatorv1.MemberState{
	members.StateAlive:   operatorv1.MemberState_MEMBER_STATE_ALIVE,
	members.StateLeaving: operatorv1.MemberState_MEMBER_STATE_LEAVING,
	members.StateDead:    operatorv1.MemberState_MEMBER_STATE_DEAD,
}

// GetStatus returns this daemon's view of the members, shards and engines. The
// members' configuration revisions are read from the store. It sends no request
// to other daemons.
func (s *service) GetStatus(ctx context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	current := s.Administrator.Current()
	response := &operatorv1.GetStatusResponse{
		Machine:                string(s.Directory.Self().Machine),
		Incarnation:            uint64(s.Directory.Self().Incarnation),
		ConfigurationRevision:  current.Revision,
		ConfigurationConfirmed: s.Administrator.IsConfirmed(),
	}
	readContext, cancel := context.WithTimeout(ctx, revisionsTimeout)
	defer cancel()
	revisions, err := s.Revisions(readContext)
	if err != nil {
		s.Logger.Warn("operatorapi: cannot read the configuration revisions of the members; the status shows them as 0.", zap.Error(err))
	}
	memberList := s.Directory.View().Members
	for i := range memberList {
		member := memberToProto(&memberList[i])
		member.ConfigurationRevision = revisions[memberList[i].Process.Machine]
		response.Members = append(response.Members, member)
	}
	for _, status := range s.Groups.Status() {
		response.Groups = append(response.Groups, groupToProto(&status))
	}
	engines := s.Fleet.Snapshot().Engines
	for i := range engines {
		response.Engines = append(response.Engines, engineToProto(&engines[i], current))
	}
	return connect.NewResponse(response), nil
}

func memberToProto(member *members.Member) *operatorv1.Member {
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

func groupToProto(status *shards.Status) *operatorv1.Group {
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

func engineToProto(engine *scheduling.Engine, current *configuration.Snapshot) *operatorv1.EngineStatus {
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
		ReportAge:     convert.DurationToProto(engine.ReportAge),
		CacheUsed:     engine.CacheUsed,
		CacheCapacity: engine.CacheTokens,
	}
}
