package commandline

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

type configCommands struct {
	Validate configValidateCommand `cmd:"" help:"Check a file, without a daemon."`
	Diff     configDiffCommand     `cmd:"" help:"Show what a file would change."`
	Apply    configApplyCommand    `cmd:"" help:"Make the file the configuration, or change some items of it."`
	Get      configGetCommand      `cmd:"" help:"Print the revision in force, or an earlier one, as a file that apply takes."`
	History  configHistoryCommand  `cmd:"" help:"List the latest revisions, newest first."`
	Watch    configWatchCommand    `cmd:"" help:"Print revisions as they come into force, until interrupted."`
}

type configValidateCommand struct {
	File string `arg:"" help:"YAML file; - for standard input."`
}

// Run validates the file without a daemon. Its error lists all faults.
func (c *configValidateCommand) Run(s *session) error {
	document, _, err := s.readFile(c.File)
	if err != nil {
		return err
	}
	if faults := configuration.Validate(&document); len(faults) > 0 {
		return &failure{code: ExitInvalid, cause: invalidConfigurationError(faults)}
	}
	if s.isJSON() {
		return s.printJSON(map[string]any{"valid": true, "items": document.ItemCount()})
	}
	s.printf("valid: %d items\n", document.ItemCount())
	return nil
}

type configDiffCommand struct {
	changeFlags
	ExitCode bool `help:"Exit with 9 when there are differences."`
}

// Run prints what the file would change in the revision in force.
func (c *configDiffCommand) Run(s *session) error {
	content, err := c.read(s)
	if err != nil {
		return err
	}
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.ValidateConfiguration(ctx, connect.NewRequest(content.validateRequest()))
	if err != nil {
		return err
	}
	if faults := response.Msg.GetFaults(); len(faults) > 0 {
		return &failure{code: ExitInvalid, cause: invalidConfigurationError(faults)}
	}
	if err := s.printChanges(response.Msg); err != nil {
		return err
	}
	if c.ExitCode && len(response.Msg.GetChanges()) > 0 {
		return errDifferent
	}
	return nil
}

func (s *session) printChanges(response *operatorv1.ValidateConfigurationResponse) error {
	if s.isJSON() {
		return s.printMessage(response)
	}
	signs := map[string]string{
		string(configuration.ActionAdded):   "+",
		string(configuration.ActionRemoved): "-",
		string(configuration.ActionChanged): "~",
	}
	for _, change := range response.GetChanges() {
		s.printf("%s %s %s\n", signs[change.GetAction()], change.GetKind(), change.GetName())
		for _, field := range change.GetFields() {
			s.printf("    %s: %s -> %s\n", field.GetName(), field.GetFrom(), field.GetTo())
		}
	}
	s.printf("%d changes against revision %d\n", len(response.GetChanges()), response.GetRevision())
	return nil
}

type configApplyCommand struct {
	changeFlags
	Base     *uint64 `help:"Revision that the change was made against; default: the one in the file's first line, as config get writes it."`
	ChangeID string  `name:"change-id" help:"Identifier of the change; default: a new one. A repeat with the same finds the first result."`
	Comment  string  `short:"m" help:"For the history."`
}

// Run applies the change. It retries while the daemon is unavailable or the
// outcome is unknown.
func (c *configApplyCommand) Run(s *session) error {
	content, err := c.read(s)
	if err != nil {
		return err
	}
	base, err := c.baseRevision(content)
	if err != nil {
		return err
	}
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	request := content.applyRequest()
	request.ChangeIdentifier = identifierOrNew(c.ChangeID)
	request.BaseRevision = base
	request.Comment = c.Comment
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := retryChange(ctx, request.GetChangeIdentifier(), func() (*connect.Response[operatorv1.ApplyConfigurationResponse], error) {
		return client.ApplyConfiguration(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	s.printf("accepted as revision %d\n", response.Msg.GetRevision())
	return nil
}

// baseRevision returns the base revision from --base, or else from the file.
func (c *configApplyCommand) baseRevision(content *changeContent) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	if content.hasBaseRevision {
		return content.baseRevision, nil
	}
	return 0, usageError(errors.New("no base revision: give --base, or begin the file with \"# revision: N\" as config get does"))
}

// identifierOrNew returns the given identifier, or a new one if it is empty.
func identifierOrNew(given string) string {
	if given != "" {
		return given
	}
	return ulid.Make().String()
}

type configGetCommand struct {
	Revision *uint64 `help:"An earlier revision; default: the one in force."`
}

// Run prints the revision's configuration as YAML, after a comment line with the
// revision's number, which config apply uses as base revision.
func (c *configGetCommand) Run(s *session) error {
	client, err := s.newOperatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := client.GetConfiguration(ctx, connect.NewRequest(&operatorv1.GetConfigurationRequest{Revision: c.Revision}))
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printMessage(response.Msg)
	}
	text, err := configuration.FormatYAML(convert.DocumentFromProto(response.Msg.GetDocument()))
	if err != nil {
		return err
	}
	s.printf("%s%d\n%s", revisionPrefix, response.Msg.GetRevision(), text)
	return nil
}

// revisionPrefix is the start of the first line that config get prints.
const revisionPrefix = "# revision: "

var revisionPattern = regexp.MustCompile(`^# revision: ([0-9]+)\s*(\n|$)`)

// readFile reads a YAML file, or standard input for "-". It returns the document
// and the revision that the first line names, or nil if it names none.
func (s *session) readFile(name string) (configuration.Document, *uint64, error) {
	data, err := s.readBytes(name, configuration.MaxYAMLBytes)
	if err != nil {
		return configuration.Document{}, nil, err
	}
	document, err := configuration.ParseYAML(data)
	if err != nil {
		return configuration.Document{}, nil, &failure{code: ExitInvalid, cause: fmt.Errorf("%s: %w", name, err)}
	}
	match := revisionPattern.FindSubmatch(data)
	if match == nil {
		return document, nil, nil
	}
	revision, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return configuration.Document{}, nil, usageError(fmt.Errorf("%s: first line: %w", name, err))
	}
	return document, &revision, nil
}

// readBytes reads a file, or standard input for "-". It fails if there are more
// bytes than the limit.
func (s *session) readBytes(name string, limit int64) ([]byte, error) {
	source := s.streams.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageError(err)
		}
		defer func() { _ = file.Close() }() // The error is ignored because the file was only read.
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, usageError(err)
	}
	if int64(len(data)) > limit {
		return nil, usageError(fmt.Errorf("%s: more than %d bytes", name, limit))
	}
	return data, nil
}

// parseDeletes returns the names in the values of --delete, each "KIND/NAME",
// grouped by kind.
func parseDeletes(deletes []string) (configuration.ItemNames, error) {
	var names configuration.ItemNames
	lists := map[string]*[]string{
		"tenant":  &names.Tenants,
		"model":   &names.Models,
		"pool":    &names.Pools,
		"engine":  &names.Engines,
		"service": &names.Services,
		"drain":   &names.Drains,
	}
	for _, text := range deletes {
		kind, name, _ := strings.Cut(text, "/")
		list, known := lists[kind]
		if !known || name == "" {
			return names, usageError(fmt.Errorf("--delete %q is not KIND/NAME with KIND tenant, model, pool, engine, service or drain", text))
		}
		*list = append(*list, name)
	}
	return names, nil
}
