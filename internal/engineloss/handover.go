package engineloss

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	// handOverTimeout bounds the hand-over of all records.
	handOverTimeout = time.Second
	// maxUpdatesOfTake is the maximum number of records in one message.
	maxUpdatesOfTake = 256
)

// HandOver gives the records of this daemon, which stops, to the other homes of each piece of work. One that
// was started since an engine ended under the work has not been told of it.
func (e *Exchange) HandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	updates := e.records.suspects()
	targets := map[identity.Process]members.Member{}
	byTarget := map[identity.Process][]Update{}
	for _, change := range updates {
		for _, home := range e.list.FutureHomes(change.Key) {
			targets[home.Process] = home
			byTarget[home.Process] = append(byTarget[home.Process], change)
		}
	}
	for process, all := range byTarget {
		e.giveTo(ctx, targets[process], all)
	}
	if len(updates) > 0 {
		e.log.Info("engineloss: records handed over.", zap.Int("records", len(updates)), zap.Int("members", len(targets)))
	}
}

// giveTo sends the updates to the member. A member that does not answer is left out.
func (e *Exchange) giveTo(ctx context.Context, target members.Member, updates []Update) {
	for batch := range slices.Chunk(updates, maxUpdatesOfTake) {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		err := e.peerClient.Call(callCtx, target.Process.Address, peer.ClassControl, methodTake, TakeRequest{Updates: batch}, &TakeReply{})
		cancel()
		if err != nil {
			e.log.Info("engineloss: records not handed over.", zap.String("member", string(target.Process.Machine)), zap.Int("records", len(updates)), zap.String("cause", err.Error()))
			return
		}
	}
}
