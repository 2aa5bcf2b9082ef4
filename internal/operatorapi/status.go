package operatorapi

import (
	"context"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/membership"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

var memberStates = map[membership.State]operatorv1.MemberState{
	membership.StateAlive:   operatorv1.MemberState_MEMBER_STATE_ALIVE,
	membership.StateSuspect: operatorv1.MemberState_MEMBER_STATE_SUSPECT,
	membership.StateLeaving: operatorv1.MemberState_MEMBER_STATE_LEAVING,
	membership.StateDead:    operatorv1.MemberState_MEMBER_STATE_DEAD,
}

// GetStatus returns what this daemon knows; it asks no other.
func (s *service) GetStatus(context.Context, *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	current := s.Administrator.Current()
	response := &operatorv1.GetStatusResponse{
		Machine:                string(s.Directory.Self().Machine),
		Incarnation:            uint64(s.Directory.Self().Incarnation),
		ConfigurationRevision:  current.Revision,
		ConfigurationConfirmed: s.Administrator.Confirmed(),
	}
	members := s.Directory.View().Members
	for i := range members {
		response.Members = append(response.Members, memberToSchema(&members[i]))
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

func memberToSchema(member *membership.Member) *operatorv1.Member {
	return &operatorv1.Member{
		Machine:               string(member.Process.Machine),
		Incarnation:           uint64(member.Process.Incarnation),
		PeerAddress:           member.Process.Address,
		CallerAddress:         member.News.CallerAddress,
		Zone:                  string(member.Process.Zone),
		Region:                string(member.Process.Region),
		State:                 memberStates[member.State],
		ConfigurationRevision: member.News.ConfigurationRevision,
		ShardMapVersion:       member.News.ShardMapVersion,
	}
}

func groupToSchema(status *shards.Status) *operatorv1.Group {
	group := &operatorv1.Group{
		Shard:     uint32(status.Shard),
		Epoch:     uint64(status.Term),
		Leader:    string(status.Leader.Machine),
		Committed: status.Committed,
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
