package commandline

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/explain"
)

// explainCommand explains from logs why a request ended as it did, or what a
// program spent its time on.
type explainCommand struct {
	Request string   `arg:"" help:"Identifier of the request, or of a program."`
	Logs    []string `arg:"" type:"existingfile" help:"Logs of the daemons of its time."`
}

// Run merges the logs and prints the log lines of the request and the cause of
// its outcome. If no line shows how a request with the identifier ended, it
// explains the program with that identifier instead.
func (c *explainCommand) Run(s *session) error {
	var lines []explain.LogLine
	for _, name := range c.Logs {
		found, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	explained, err := explain.ForRequest(c.Request, lines)
	var notFound *explain.RequestNotFoundError
	if errors.As(err, &notFound) {
		return c.explainProgram(s, lines)
	}
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printJSON(explained)
	}
	return explained.Print(s.streams.Out)
}

func (c *explainCommand) explainProgram(s *session, lines []explain.LogLine) error {
	explained, err := explain.ForProgram(c.Request, lines)
	if err != nil {
		return err
	}
	if s.isJSON() {
		return s.printJSON(explained)
	}
	return explained.Print(s.streams.Out)
}

func readLog(name string) ([]explain.LogLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.ReadLog(file)
	return lines, eris.Wrapf(err, "log %s", name)
}
