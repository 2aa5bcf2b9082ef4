package commandline

import (
	"errors"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
)

// changeFlags are the flags of config diff and config apply that define the
// change.
type changeFlags struct {
	File    string   `arg:"" optional:"" help:"YAML file; - for standard input. Only with --partial it may be left out."`
	Partial bool     `help:"The file holds only items to add or replace; all others stay."`
	Delete  []string `placeholder:"KIND/NAME" help:"With --partial: take this item away; may be given often."`
}

// changeContent is the change that the flags define: either document or partial
// is set.
type changeContent struct {
	document        *operatorv1.Document
	partial         *operatorv1.Difference
	baseRevision    uint64
	hasBaseRevision bool
}

// read checks the flags, reads the file and returns the change. It validates a
// whole document, but not a partial change.
func (c *changeFlags) read(s *session) (*changeContent, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	var document configuration.Document
	content := &changeContent{}
	if c.File != "" {
		parsed, base, err := s.readFile(c.File)
		if err != nil {
			return nil, err
		}
		document = parsed
		if base != nil {
			content.baseRevision, content.hasBaseRevision = *base, true
		}
	}
	if !c.Partial {
		if faults := configuration.Validate(&document); len(faults) > 0 {
			return nil, &failure{code: ExitInvalid, cause: invalidConfigurationError(faults)}
		}
		content.document = convert.DocumentToProto(&document)
		return content, nil
	}
	deletes, err := parseDeletes(c.Delete)
	if err != nil {
		return nil, err
	}
	content.partial = convert.DifferenceToProto(&configuration.Difference{Upserts: document, Deletes: deletes})
	return content, nil
}

// check returns a usage error if the flags do not define a change.
func (c *changeFlags) check() error {
	if !c.Partial && len(c.Delete) > 0 {
		return usageError(errors.New("--delete needs --partial: without it, items that are not in the file are deleted"))
	}
	if c.File == "" && len(c.Delete) == 0 {
		return usageError(errors.New("no file given"))
	}
	return nil
}

func (c *changeContent) validateRequest() *operatorv1.ValidateConfigurationRequest {
	if c.partial != nil {
		return &operatorv1.ValidateConfigurationRequest{Content: &operatorv1.ValidateConfigurationRequest_Partial{Partial: c.partial}}
	}
	return &operatorv1.ValidateConfigurationRequest{Content: &operatorv1.ValidateConfigurationRequest_Document{Document: c.document}}
}

func (c *changeContent) applyRequest() *operatorv1.ApplyConfigurationRequest {
	if c.partial != nil {
		return &operatorv1.ApplyConfigurationRequest{Content: &operatorv1.ApplyConfigurationRequest_Partial{Partial: c.partial}}
	}
	return &operatorv1.ApplyConfigurationRequest{Content: &operatorv1.ApplyConfigurationRequest_Document{Document: c.document}}
}
