package commandline

import (
	"fmt"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
)

type drainCommands struct {
	Add    drainAddCommand    `cmd:"" help:"Give no new work to these back ends or machines."`
	Remove drainRemoveCommand `cmd:"" help:"Give work to these again."`
	List   drainListCommand   `cmd:"" help:"List what is drained."`
}

// drainFlags are the flags of drain add and drain remove.
type drainFlags struct {
	Names    []string `arg:"" help:"Names of engines, services or machines."`
	ChangeID string   `name:"change-id" help:"Identifier of the change; default: a new one. A repeat with the same finds the first result."`
	Comment  string   `short:"m" help:"For the history."`
}

type drainAddCommand struct{ drainFlags }

// Run drains the named back ends or machines.
func (c *drainAddCommand) Run(s *session) error {
	return c.setDrains(s, &operatorv1.SetDrainsRequest{Add: c.Names})
}

type drainRemoveCommand struct{ drainFlags }

// Run returns the named back ends or machines to service.
func (c *drainRemoveCommand) Run(s *session) error {
	return c.setDrains(s, &operatorv1.SetDrainsRequest{Remove: c.Names})
}

// setDrains completes the request from the flags, sends it and prints the result.
func (c *drainFlags) setDrains(s *session, request *operatorv1.SetDrainsRequest) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	request.ChangeIdentifier = identifierOrNew(c.ChangeID)
	request.Comment = c.Comment
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := retryChange(ctx, request.GetChangeIdentifier(), func() (*connect.Response[operatorv1.SetDrainsResponse], error) {
		return client.SetDrains(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	for _, name := range response.Msg.GetWithoutEffect() {
		_, _ = fmt.Fprintf(s.streams.Err, "note: %s is not a declared back end or the host of one; check the spelling\n", name)
	}
	return s.printDrains(response.Msg.GetRevision(), response.Msg.GetDrains())
}

type drainListCommand struct{}

// Run lists the drains in force at one daemon.
func (drainListCommand) Run(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.GetConfiguration(ctx, connect.NewRequest(&operatorv1.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	drains := response.Msg.GetDocument().GetDrains()
	if s.isJSON() {
		return s.printMessage(&operatorv1.SetDrainsResponse{Revision: response.Msg.GetRevision(), Drains: drains})
	}
	return s.printDrains(response.Msg.GetRevision(), drains)
}

func (s *session) printDrains(revision uint64, drains []string) error {
	s.printf("revision %d, %d drained\n", revision, len(drains))
	for _, name := range drains {
		s.printf("%s\n", name)
	}
	return nil
}
