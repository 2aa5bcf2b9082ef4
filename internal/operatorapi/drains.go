package operatorapi

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
)

const (
	// maxDrainAttempts limits how often SetDrains tries to apply a change,
	// including the first attempt, if other changes conflict with it.
	maxDrainAttempts = 5
	// revisionPollInterval is the time between two checks of this daemon's revision.
	revisionPollInterval = 20 * time.Millisecond
)

// SetDrains adds and removes drains. Drains do not depend on the rest of the
// configuration. After a conflict, SetDrains therefore tries again with the
// newer revision, unless the request names a base revision.
func (s *service) SetDrains(ctx context.Context, request *connect.Request[operatorv1.SetDrainsRequest]) (*connect.Response[operatorv1.SetDrainsResponse], error) {
	message := request.Msg
	if len(message.GetAdd())+len(message.GetRemove()) == 0 {
		return nil, invalidChangeError("both add and remove are empty")
	}
	for attempt := 1; ; attempt++ {
		current := s.Administrator.Current()
		change := newDrainChange(message, current, attempt)
		result, err := s.applyChange(ctx, &change)
		if err == nil && result.Accepted {
			return s.drainsResponse(ctx, result.Revision)
		}
		retry := err == nil && result.Conflict && message.BaseRevision == nil && attempt < maxDrainAttempts
		if !retry {
			return nil, changeError(&change, result, err)
		}
		if err := s.awaitRevision(ctx, result.Revision); err != nil {
			return nil, changeError(&change, result, nil)
		}
	}
}

// newDrainChange returns the change for one attempt. Its base is the current
// revision, unless the request names another. The identifier of the change
// depends only on the request's identifier and the attempt's number, so a
// repeated request finds the attempt that was accepted before.
func newDrainChange(message *operatorv1.SetDrainsRequest, current *configuration.Snapshot, attempt int) configuration.Change {
	change := configuration.Change{
		Identifier:   message.GetChangeIdentifier(),
		BaseRevision: current.Revision,
		Comment:      message.GetComment(),
		Partial:      &configuration.Difference{},
	}
	if message.BaseRevision != nil {
		change.BaseRevision = message.GetBaseRevision()
	}
	if attempt > 1 && change.Identifier != "" {
		change.Identifier += fmt.Sprintf("/%d", attempt)
	}
	change.Partial.Upserts.Drains = message.GetAdd()
	for _, name := range message.GetRemove() {
		if current.Drained[name] {
			change.Partial.Deletes.Drains = append(change.Partial.Deletes.Drains, name)
		}
	}
	return change
}

// drainsResponse waits until the revision is in force at this daemon and returns
// the drains of that revision or a later one. If the context ends first, the
// response has the revision's number but no drains.
func (s *service) drainsResponse(ctx context.Context, revision uint64) (*connect.Response[operatorv1.SetDrainsResponse], error) {
	response := &operatorv1.SetDrainsResponse{Revision: revision}
	if err := s.awaitRevision(ctx, revision); err == nil {
		current := s.Administrator.Current()
		response.Revision = current.Revision
		response.Drains = slices.Clone(current.Document.Drains)
		response.WithoutEffect = slices.DeleteFunc(slices.Clone(response.Drains), current.HasDrainTarget)
	}
	return connect.NewResponse(response), nil
}

// awaitRevision waits until the revision, or a later one, is in force at this
// daemon. It returns the context's error if the context ends first.
func (s *service) awaitRevision(ctx context.Context, revision uint64) error {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for s.Administrator.Current().Revision < revision {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
