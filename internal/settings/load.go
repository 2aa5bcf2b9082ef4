package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Description is the program description in the output of --help.
const Description = "thymeloftd is the thymeloft daemon; every machine runs the same program."

// ErrVersionPrinted is returned by Load after printing the version for the flag --version.
var ErrVersionPrinted = errors.New("version printed")

type commandLine struct {
	File    string `name:"settings" short:"s" help:"YAML file of settings; flags win over it." placeholder:"FILE"`
	Version bool   `help:"Print the version and stop."`
	Settings
}

// Load returns the settings from the defaults, the file named by --settings, and the
// flags in arguments; a flag takes precedence over the file. The arguments do not
// include the program name. Load returns an error if the flags or the file cannot be
// read. If the settings are invalid, it returns them with an error of type ValidationError.
// With --version it prints the version to output and returns ErrVersionPrinted.
func Load(arguments []string, version string, output io.Writer) (Settings, error) {
	cli := commandLine{}
	flags, err := parseFlags(&cli, arguments, output)
	if err != nil {
		return Settings{}, err
	}
	if cli.Version {
		_, _ = fmt.Fprintln(output, version)
		return Settings{}, ErrVersionPrinted
	}
	cli.Settings = Default()
	if cli.File != "" {
		cli.Settings, err = loadFile(cli.File)
		if err != nil {
			return Settings{}, err
		}
	}
	for _, flag := range flags {
		flag.field.Set(flag.value)
	}
	return cli.Settings, cli.Check()
}

// flagValue is a flag given on the command line: the settings field that it sets, and
// the value.
type flagValue struct {
	field reflect.Value
	value reflect.Value
}

// parseFlags parses the arguments into cli. It returns the flags that the arguments contain.
func parseFlags(cli *commandLine, arguments []string, output io.Writer) ([]flagValue, error) {
	parser, err := kong.New(cli,
		kong.Name("thymeloftd"),
		kong.Description(Description),
		kong.Writers(output, output),
	)
	if err != nil {
		return nil, eris.Wrap(err, "build the command line")
	}
	parseContext, err := parser.Parse(arguments)
	if err != nil {
		return nil, eris.Wrap(err, "read the flags")
	}
	var flags []flagValue
	for _, element := range parseContext.Path {
		if element.Flag == nil {
			continue
		}
		value := reflect.New(element.Flag.Target.Type()).Elem()
		value.Set(element.Flag.Target)
		flags = append(flags, flagValue{field: element.Flag.Target, value: value})
	}
	return flags, nil
}

func loadFile(name string) (Settings, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read the settings file")
	}
	result := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict())
	if err := decoder.Decode(&result); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, eris.Errorf("read the settings file %s: %s", name, yaml.FormatError(err, false, true))
	}
	return result, nil
}

// ValidationError is an error with one entry for each fault of the settings.
type ValidationError []string

// Error returns the number of faults and then one fault per line.
func (f ValidationError) Error() string {
	return fmt.Sprintf("%d faults in the settings:\n  %s", len(f), strings.Join(f, "\n  "))
}
