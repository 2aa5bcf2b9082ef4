package commandline

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

type configHistoryCommand struct {
	Limit uint32 `default:"20" help:"Most revisions to list."`
}

// Run prints the latest revisions, newest first.
func (c *configHistoryCommand) Run(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.ListRevisions(ctx, connect.NewRequest(&operatorv1.ListRevisionsRequest{PageSize: c.Limit}))
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	table := s.newTable("REVISION", "ACCEPTED", "OPERATOR", "ITEMS", "CHANGE", "COMMENT")
	for _, revision := range response.Msg.GetRevisions() {
		accepted := revision.GetAcceptedAt().AsTime().Format(time.RFC3339)
		table.addRow(revision.GetNumber(), accepted, revision.GetOperator(), itemCount(revision.GetDifference()),
			revision.GetChangeIdentifier(), revision.GetComment())
	}
	return table.flush()
}

func itemCount(difference *operatorv1.Difference) int {
	converted := convert.DifferenceFromProto(difference)
	return converted.ItemCount()
}

type configWatchCommand struct{}

// Run prints each revision that comes into force, until the user interrupts it or
// the daemon ends the stream.
func (configWatchCommand) Run(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	stream, err := client.WatchConfiguration(s.ctx, connect.NewRequest(&operatorv1.WatchConfigurationRequest{}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := s.printRevision(stream.Msg()); err != nil {
			return err
		}
	}
	if s.ctx.Err() != nil {
		return nil
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return &failure{code: ExitUnavailable, cause: fmt.Errorf("the daemon ended the stream"), advice: "Run the command again, at this or another daemon."}
}

func (s *session) printRevision(message *operatorv1.WatchConfigurationResponse) error {
	if s.isJSON() {
		return s.printMessageLine(message)
	}
	if document := message.GetDocument(); document != nil {
		whole := convert.DocumentFromProto(document)
		s.printf("revision %d: %d items\n", message.GetRevision(), whole.ItemCount())
		return nil
	}
	s.printf("revision %d: %d items changed\n", message.GetRevision(), itemCount(message.GetDifference()))
	return nil
}
