package operatorapi

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

// Limits of the texts that the configuration history keeps.
const (
	maxIdentifierBytes = 128
	maxCommentBytes    = 1024
)

// ApplyConfiguration applies a change of the configuration. The errors are
// described in operator.proto.
func (s *service) ApplyConfiguration(ctx context.Context, request *connect.Request[operatorv1.ApplyConfigurationRequest]) (*connect.Response[operatorv1.ApplyConfigurationResponse], error) {
	message := request.Msg
	change := configuration.Change{
		Identifier:   message.GetChangeIdentifier(),
		BaseRevision: message.GetBaseRevision(),
		Comment:      message.GetComment(),
	}
	switch content := message.GetContent().(type) {
	case *operatorv1.ApplyConfigurationRequest_Document:
		change.Document = convert.DocumentFromProto(content.Document)
		if faults := configuration.Validate(&change.Document); len(faults) > 0 {
			return nil, invalidChangeError(faults...) // An invalid document is invalid at any revision.
		}
	case *operatorv1.ApplyConfigurationRequest_Partial:
		partial := convert.DifferenceFromProto(content.Partial)
		change.Partial = &partial
	default:
		return nil, invalidChangeError("the change has no content: neither document nor partial is set")
	}
	change = s.Administrator.Current().ReduceChange(change)
	result, err := s.applyChange(ctx, &change)
	if err := changeError(&change, result, err); err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ApplyConfigurationResponse{Revision: result.Revision}), nil
}

// applyChange validates the change's identifier and comment, sets its operator
// and time, and passes it to the administrator. It logs and counts the result.
func (s *service) applyChange(ctx context.Context, change *configuration.Change) (configuration.ChangeResult, error) {
	if faults := validateTexts(change); len(faults) > 0 {
		return configuration.ChangeResult{Faults: faults}, nil
	}
	change.Operator = operatorOf(ctx)
	change.At = time.Now()
	result, err := s.Administrator.Change(ctx, *change)
	s.metrics.observeChange(result, err)
	s.logger.Info("operatorapi: configuration change processed.",
		zap.String("change", change.Identifier), zap.String("operator", change.Operator),
		zap.Uint64("base", change.BaseRevision), zap.Uint64("revision", result.Revision),
		zap.Bool("accepted", result.Accepted), zap.Bool("conflict", result.Conflict),
		zap.Int("faults", len(result.Faults)), zap.Error(err))
	return result, err
}

// validateTexts returns what is wrong with the change's identifier and comment.
func validateTexts(change *configuration.Change) []string {
	var faults []string
	if change.Identifier == "" || len(change.Identifier) > maxIdentifierBytes {
		faults = append(faults, fmt.Sprintf("change_identifier must have 1 to %d bytes", maxIdentifierBytes))
	}
	if len(change.Comment) > maxCommentBytes {
		faults = append(faults, fmt.Sprintf("comment must have at most %d bytes", maxCommentBytes))
	}
	return faults
}
