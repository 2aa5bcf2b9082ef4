package commandline

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
)

type statusCommand struct{}

// Run prints the status of the fleet as one daemon sees it.
func (statusCommand) Run(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	return s.printStatus(response.Msg)
}

func (s *session) printStatus(status *operatorv1.GetStatusResponse) error {
	s.printf("as seen by %s: revision %d in force, confirmed: %s\n\n",
		status.GetMachine(), status.GetConfigurationRevision(), yesNo(status.GetConfigurationConfirmed()))
	members := s.newTable("MACHINE", "STATE", "ZONE", "REGION", "PEER", "CALLERS", "REVISION", "MAP")
	for _, member := range status.GetMembers() {
		members.addRow(member.GetMachine(), enumName(member.GetState(), "MEMBER_STATE_"), member.GetZone(), member.GetRegion(),
			member.GetPeerAddress(), member.GetCallerAddress(), member.GetConfigurationRevision(), formatEpoch(member.GetShardMapVersion()))
	}
	if err := members.flush(); err != nil {
		return err
	}
	s.printf("\n")
	groups := s.newTable("GROUP", "EPOCH", "VIEW", "LEADER", "REPLICAS", "COMMITTED", "NORMAL")
	for _, group := range status.GetGroups() {
		groups.addRow(group.GetShard(), formatEpoch(group.GetEpoch()), group.GetView(), group.GetLeader(),
			strings.Join(group.GetReplicas(), ","), group.GetCommitted(), yesNo(group.GetNormal()))
	}
	if err := groups.flush(); err != nil {
		return err
	}
	s.printf("\n")
	engines := s.newTable("ENGINE", "ZONE", "MODEL", "VERSION", "RUNNING", "WAITING", "CACHE", "ERRORS", "STATE")
	for _, engine := range status.GetEngines() {
		engines.addRow(engine.GetName(), engine.GetZone(), engine.GetModel(), engine.GetVersion(), engine.GetRunning(),
			engine.GetWaiting(), formatShare(engine.GetCacheUsed(), engine.GetCacheCapacity()),
			formatPercent(engine.GetErrorRate()), engineState(engine))
	}
	return engines.flush()
}

// formatEpoch formats an epoch or a version of the shard map. The upper 32 bits
// count how often the fleet was bootstrapped again; they are shown before a dot
// if they are not zero. The lower 32 bits count from zero after each bootstrap.
func formatEpoch(epoch uint64) string {
	const counterBits = 32
	bootstraps, counter := epoch>>counterBits, uint32(epoch)
	if bootstraps == 0 {
		return fmt.Sprint(counter)
	}
	return fmt.Sprintf("%d.%d", bootstraps, counter)
}

func engineState(engine *operatorv1.EngineStatus) string {
	switch {
	case engine.GetDrained():
		return "drained"
	case engine.GetProbing():
		return "probing"
	case engine.GetAccepting():
		return "accepting"
	}
	return "not accepting"
}

// formatShare formats used/capacity as a percentage, or "" without a capacity.
func formatShare(used, capacity int64) string {
	if capacity <= 0 {
		return ""
	}
	return formatPercent(float64(used) / float64(capacity))
}

// formatPercent formats a share from 0 to 1 as a percentage.
func formatPercent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }
