package commandline

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/callerapi"
)

type programHistoryCommand struct {
	Program    string `arg:"" help:"Identifier of the program."`
	Messages   bool   `help:"Show the conversation too."`
	AsOperator bool   `help:"Read it through the operators' endpoint, whatever its tenant."`
}

// Run prints the program's state and calls and, with --messages, its
// conversation.
func (c *programHistoryCommand) Run(s *session) error {
	if c.AsOperator {
		return c.runAsOperator(s)
	}
	client, err := s.newCallerClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var history callerapi.History
	if err := client.call(ctx, http.MethodGet, programPath(c.Program)+"/history", nil, &history); err != nil {
		return err
	}
	if s.isJSON() {
		return s.printJSON(history)
	}
	s.printf("%s, tokens spent %d of %d, reserved %d\n\n",
		joinNonEmpty(string(history.State), string(history.EndReason), history.Class), history.SpentTokens, history.TokenBudget, history.ReservedTokens)
	table := s.newTable(callColumns...)
	for i := range history.Calls {
		call := &history.Calls[i]
		engine, generated := "", int64(0)
		if call.Answer != nil {
			engine, generated = call.Answer.Engine, call.Answer.CompletionTokens
		}
		table.addRow(call.Sequence, call.State, call.Target, call.Name, call.AcceptedAt.Format(time.RFC3339), call.Attempts, engine, generated)
	}
	if err := table.flush(); err != nil {
		return err
	}
	for _, message := range history.Messages {
		c.printMessage(s, message.Role, message.Content)
	}
	return nil
}

var callColumns = []any{"CALL", "STATE", "TARGET", "NAME", "ACCEPTED", "ATTEMPTS", "BY", "GENERATED"}

func (c *programHistoryCommand) runAsOperator(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.GetProgram(ctx, connect.NewRequest(&operatorv1.GetProgramRequest{
		Program: c.Program, IncludeMessages: c.Messages,
	}))
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	found := response.Msg.GetProgram()
	s.printf("tenant %s, %s, tokens spent %d of %d, reserved %d\n\n", found.GetTenant(),
		joinNonEmpty(enumName(found.GetState(), "PROGRAM_STATE_"), found.GetEndReason()), found.GetSpent(), found.GetTokenBudget(), found.GetReserved())
	table := s.newTable(callColumns...)
	for _, call := range found.GetCalls() {
		table.addRow(call.GetSequence(), enumName(call.GetState(), "CALL_STATE_"), call.GetTarget(), call.GetName(),
			call.GetAcceptedAt().AsTime().Format(time.RFC3339), len(call.GetAttempts()), call.GetEngine(), call.GetCompletionTokens())
	}
	if err := table.flush(); err != nil {
		return err
	}
	for _, message := range found.GetMessages() {
		c.printMessage(s, message.GetRole(), message.GetContent())
	}
	return nil
}

// joinNonEmpty joins the non-empty texts with spaces.
func joinNonEmpty(texts ...string) string {
	return strings.Join(slices.DeleteFunc(texts, func(text string) bool { return text == "" }), " ")
}

func (c *programHistoryCommand) printMessage(s *session, role, content string) {
	if c.Messages {
		s.printf("\n%s: %s\n", role, content)
	}
}
