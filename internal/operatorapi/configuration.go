package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

// Numbers of revisions that ListRevisions returns.
const (
	defaultRevisionCount = 20 // used if the request has no page size
	maxRevisionCount     = 200
)

// GetConfiguration returns the configuration of the requested revision. If the
// request names none, it returns the revision in force at this daemon.
func (s *service) GetConfiguration(ctx context.Context, request *connect.Request[operatorv1.GetConfigurationRequest]) (*connect.Response[operatorv1.GetConfigurationResponse], error) {
	current := s.Administrator.Current()
	response := &operatorv1.GetConfigurationResponse{Revision: current.Revision, Confirmed: s.Administrator.IsConfirmed()}
	document := current.Document
	if request.Msg.Revision != nil && request.Msg.GetRevision() != current.Revision {
		earlier, err := s.documentAt(ctx, request.Msg.GetRevision())
		if err != nil {
			return nil, err
		}
		response.Revision, document = request.Msg.GetRevision(), earlier
	}
	response.Document = convert.DocumentToProto(&document)
	return connect.NewResponse(response), nil
}

// documentAt returns the configuration of an earlier revision. The configuration
// is computed from the current one and the history of changes.
func (s *service) documentAt(ctx context.Context, revision uint64) (configuration.Document, error) {
	revisions, err := s.Administrator.History(ctx, configuration.MaxHistoryRevisions)
	if err != nil {
		return configuration.Document{}, connect.NewError(connect.CodeUnavailable, fmt.Errorf("cannot read the configuration history; try again: %w", err))
	}
	document, found := s.Administrator.Current().DocumentAt(revision, revisions)
	if !found {
		return configuration.Document{}, connect.NewError(connect.CodeNotFound, fmt.Errorf("revision %d does not exist or is no longer kept", revision))
	}
	return document, nil
}

// ValidateConfiguration checks a change against the revision in force at this
// daemon, without applying it.
func (s *service) ValidateConfiguration(_ context.Context, request *connect.Request[operatorv1.ValidateConfigurationRequest]) (*connect.Response[operatorv1.ValidateConfigurationResponse], error) {
	current := s.Administrator.Current()
	var document configuration.Document
	var faults []string
	switch content := request.Msg.GetContent().(type) {
	case *operatorv1.ValidateConfigurationRequest_Document:
		document = convert.DocumentFromProto(content.Document)
		faults = configuration.Validate(&document)
	case *operatorv1.ValidateConfigurationRequest_Partial:
		partial := convert.DifferenceFromProto(content.Partial)
		document, faults = current.Preview(&partial)
	default:
		return nil, invalidChangeError("the change has no content: neither document nor partial is set")
	}
	response := &operatorv1.ValidateConfigurationResponse{Revision: current.Revision, Faults: faults}
	if len(faults) == 0 {
		response.Changes = convert.ItemChangesToProto(configuration.DiffItems(current.Document, document))
	}
	return connect.NewResponse(response), nil
}

// ListRevisions returns the latest revisions, newest first.
func (s *service) ListRevisions(ctx context.Context, request *connect.Request[operatorv1.ListRevisionsRequest]) (*connect.Response[operatorv1.ListRevisionsResponse], error) {
	limit := int(request.Msg.GetPageSize())
	if limit == 0 {
		limit = defaultRevisionCount
	}
	revisions, err := s.Administrator.History(ctx, min(limit, maxRevisionCount))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("cannot read the configuration history; try again: %w", err))
	}
	response := &operatorv1.ListRevisionsResponse{}
	for i := range revisions {
		response.Revisions = append(response.Revisions, revisionToProto(&revisions[i]))
	}
	return connect.NewResponse(response), nil
}

func revisionToProto(revision *configuration.Revision) *operatorv1.Revision {
	return &operatorv1.Revision{
		Number:           revision.Number,
		ChangeIdentifier: revision.Identifier,
		Operator:         revision.Operator,
		Comment:          revision.Comment,
		AcceptedAt:       timestamppb.New(revision.At),
		Difference:       convert.DifferenceToProto(&revision.Difference),
	}
}

// WatchConfiguration streams the revisions that come into force at this daemon.
// The stream ends when the client closes it or the daemon drains.
func (s *service) WatchConfiguration(ctx context.Context, request *connect.Request[operatorv1.WatchConfigurationRequest], stream *connect.ServerStream[operatorv1.WatchConfigurationResponse]) error {
	select {
	case s.watchSlots <- struct{}{}:
		defer func() { <-s.watchSlots }()
	default:
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("the limit of %d concurrent WatchConfiguration streams is reached", s.limits.MaxWatchStreams))
	}
	sent := s.Administrator.Current()
	if sent.Revision != request.Msg.GetKnownRevision() {
		if err := stream.Send(documentMessage(sent)); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(s.limits.WatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.Draining() {
			return connect.NewError(connect.CodeUnavailable, errors.New("this daemon is draining; watch the configuration at another daemon"))
		}
		current := s.Administrator.Current()
		if current.Revision == sent.Revision {
			continue
		}
		if err := stream.Send(differenceMessage(sent, current)); err != nil {
			return err
		}
		sent = current
	}
}

// documentMessage returns the stream message with a whole configuration.
func documentMessage(snapshot *configuration.Snapshot) *operatorv1.WatchConfigurationResponse {
	return &operatorv1.WatchConfigurationResponse{
		Revision: snapshot.Revision,
		Content:  &operatorv1.WatchConfigurationResponse_Document{Document: convert.DocumentToProto(&snapshot.Document)},
	}
}

// differenceMessage returns the stream message with the changes between two
// snapshots.
func differenceMessage(from, to *configuration.Snapshot) *operatorv1.WatchConfigurationResponse {
	difference := configuration.ComputeDifference(&from.Document, &to.Document)
	return &operatorv1.WatchConfigurationResponse{
		Revision: to.Revision,
		Content:  &operatorv1.WatchConfigurationResponse_Difference{Difference: convert.DifferenceToProto(&difference)},
	}
}
