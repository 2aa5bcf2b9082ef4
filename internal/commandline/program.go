package commandline

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
)

// maxPayloadBytes is the largest size of a payload file.
const maxPayloadBytes = 8 << 20

type programCommands struct {
	Create  programCreateCommand  `cmd:"" help:"Create a program and print its identifier."`
	Call    programCallCommand    `cmd:"" help:"Submit a call and print its answer."`
	Get     programGetCommand     `cmd:"" help:"Read a call's answer, or how far it is."`
	History programHistoryCommand `cmd:"" help:"Show a program's calls and messages."`
	End     programEndCommand     `cmd:"" help:"End a program."`
}

type programCreateCommand struct {
	CreationKey string        `help:"The caller's own key of the creation; a repeat with it finds the first program. Default: a new one."`
	Parent      string        `help:"Parent program."`
	Class       string        `enum:",interactive,standard,batch" default:"" help:"Priority class; default: the tenant's."`
	TokenBudget int64         `help:"Most generated tokens, children included."`
	MaxTurns    uint64        `help:"Most calls."`
	Idle        time.Duration `help:"Longest time without a call under way."`
	Lifetime    time.Duration `help:"Longest time since the creation."`
}

// Run creates a program and prints its identifier.
func (c *programCreateCommand) Run(s *session) error {
	client, err := s.newCallerClient()
	if err != nil {
		return err
	}
	request := callerapi.CreateRequest{
		CreationKey:     identifierOrNew(c.CreationKey),
		Parent:          identity.Program(c.Parent),
		Class:           c.Class,
		TokenBudget:     c.TokenBudget,
		MaxTurns:        c.MaxTurns,
		IdleSeconds:     c.Idle.Seconds(),
		LifetimeSeconds: c.Lifetime.Seconds(),
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var reply callerapi.CreateReply
	if err := client.call(ctx, http.MethodPost, callerapi.PathPrograms, request, &reply); err != nil {
		return withCreationKey(err, request.CreationKey)
	}
	if s.isJSON() {
		return s.printJSON(reply)
	}
	s.printf("%s\n", reply.Program)
	return nil
}

// withCreationKey returns the error of a failed creation. If the outcome is
// unknown, its advice explains how to repeat the command with the creation key.
func withCreationKey(err error, key string) error {
	var failed *failure
	if errors.As(err, &failed) && failed.code == ExitUncertain {
		failed.advice = fmt.Sprintf("Repeat the command with --creation-key %s: it finds the program, if it was created.", key)
	}
	return err
}

type programCallCommand struct {
	Program       string        `arg:"" help:"Identifier of the program."`
	Sequence      uint64        `arg:"" help:"Number of the call, from 1."`
	Model         string        `xor:"target" required:"" help:"Model to call."`
	Service       string        `xor:"target" required:"" help:"Application service to call."`
	Tool          string        `xor:"target" required:"" help:"Tool to call."`
	Adapter       string        `help:"Adapter of the model."`
	Message       []string      `short:"m" sep:"none" help:"What the user says to the model; may be given often."`
	MaxTokens     int64         `default:"256" help:"Most tokens that a model may generate."`
	Operation     string        `help:"Operation of the service or tool."`
	PayloadFile   string        `placeholder:"FILE" help:"Payload for the service or tool; - for standard input."`
	NotRepeatable bool          `help:"Run at most once, whatever fails."`
	Deadline      time.Duration `help:"Longest time of the call; default: the daemon's."`
}

// Run submits the call and prints its answer. Submitting the same call again
// joins the first submission.
func (c *programCallCommand) Run(s *session) error {
	request, err := c.request(s)
	if err != nil {
		return err
	}
	client, err := s.newCallerClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var reply callerapi.CallReply
	if err := client.call(ctx, http.MethodPost, callPath(c.Program, c.Sequence), request, &reply); err != nil {
		return err
	}
	return s.printCall(&reply)
}

func (c *programCallCommand) request(s *session) (*callerapi.CallRequest, error) {
	request := &callerapi.CallRequest{
		Operation:     c.Operation,
		NotRepeatable: c.NotRepeatable,
		DeadlineMS:    c.Deadline.Milliseconds(),
	}
	switch {
	case c.Model != "":
		request.Target, request.Name = program.TargetModel, c.Model
		request.Adapter, request.MaxTokens = c.Adapter, c.MaxTokens
		for _, text := range c.Message {
			request.Messages = append(request.Messages, callerapi.Message{Role: "user", Content: text})
		}
	case c.Service != "":
		request.Target, request.Name = program.TargetService, c.Service
	default:
		request.Target, request.Name = program.TargetTool, c.Tool
	}
	if c.PayloadFile == "" {
		return request, nil
	}
	payload, err := s.readBytes(c.PayloadFile, maxPayloadBytes)
	request.Payload = payload
	return request, err
}

type programGetCommand struct {
	Program  string        `arg:"" help:"Identifier of the program."`
	Sequence uint64        `arg:"" help:"Number of the call."`
	Wait     time.Duration `help:"Wait so long for the answer."`
}

// Run prints the call's answer, or its state if it has none.
func (c *programGetCommand) Run(s *session) error {
	client, err := s.newCallerClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	path := fmt.Sprintf("%s?wait_ms=%d", callPath(c.Program, c.Sequence), c.Wait.Milliseconds())
	var reply callerapi.CallReply
	if err := client.call(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return err
	}
	return s.printCall(&reply)
}

func (s *session) printCall(reply *callerapi.CallReply) error {
	if s.isJSON() {
		return s.printJSON(reply)
	}
	if reply.Answer == nil {
		s.printf("%s\n", reply.State)
		return nil
	}
	text := reply.Answer.Content
	if text == "" {
		text = string(reply.Answer.Payload)
	}
	s.printf("%s\n", text)
	_, _ = fmt.Fprintf(s.streams.Err, "%s by %s in %d ms; tokens: prompt %d, cached %d, generated %d\n",
		reply.State, reply.Answer.Engine, reply.Answer.ElapsedMS,
		reply.Answer.PromptTokens, reply.Answer.CachedTokens, reply.Answer.CompletionTokens)
	return nil
}

type programEndCommand struct {
	Program    string `arg:"" help:"Identifier of the program."`
	AsOperator bool   `help:"End it through the operators' endpoint, whatever its tenant."`
}

// Run ends the program through the caller endpoint or, with --as-operator, the
// operator endpoint.
func (c *programEndCommand) Run(s *session) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	if c.AsOperator {
		client, err := s.newOperatorClient()
		if err != nil {
			return err
		}
		_, err = client.EndProgram(ctx, connect.NewRequest(&operatorv1.EndProgramRequest{Program: c.Program}))
		return s.printEnded(c.Program, err)
	}
	client, err := s.newCallerClient()
	if err != nil {
		return err
	}
	return s.printEnded(c.Program, client.call(ctx, http.MethodDelete, programPath(c.Program), nil, nil))
}

func (s *session) printEnded(identifier string, err error) error {
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printJSON(map[string]string{"program": identifier, "state": string(program.ProgramEnded)})
	}
	s.printf("ended\n")
	return nil
}

func programPath(identifier string) string {
	return callerapi.PathPrograms + "/" + url.PathEscape(identifier)
}

func callPath(identifier string, sequence uint64) string {
	return fmt.Sprintf("%s/calls/%d", programPath(identifier), sequence)
}
