package stored

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Names of the tables and of the head row. The content has its own table: daemons that
// watch the head table do not receive the content with every change.
const (
	tableHead    = "configuration"
	tableContent = "configuration-content"
	headName     = "head"
)

const (
	maxCommitRows  = 90        // maximum number of rows in one commit
	maxCommitBytes = 640 << 10 // maximum size of the values in one commit, in bytes; a single row may be larger
)

// head is the value of the head row, which refers to the rows of the current
// content. Every change is committed on the condition that this row is unchanged.
type head struct {
	Revision uint64 `cbor:"r"`
	Name     string `cbor:"n"` // common prefix of the names of the content rows
	Rows     int    `cbor:"c"` // number of content rows
	Nonce    uint64 `cbor:"x"` // random, so that concurrent changes write different rows
}

var headKey = state.Key{Table: tableHead, Name: headName}

// read returns a machine with the state in the store, and the head row that the
// state was read from. Without a head row the machine is empty.
func (s *Service) read(ctx context.Context) (*configuration.Machine, state.Row, error) {
	var page state.Page
	err := s.options.Store.Retry(ctx, func() error {
		var err error
		page, err = s.options.Store.Read(ctx, state.KeyRange(headKey))
		return err
	})
	if err != nil {
		return nil, state.Row{}, eris.Wrap(err, "read the head of the configuration")
	}
	machine := configuration.NewMachine()
	if len(page.Rows) == 0 {
		return machine, state.Row{Key: headKey}, nil
	}
	row := page.Rows[0]
	var current head
	if err := cbor.Unmarshal(row.Value, &current); err != nil {
		return nil, row, eris.Wrap(err, "decode the head of the configuration")
	}
	content, err := s.readContent(ctx, current)
	if err != nil {
		return nil, row, err
	}
	return machine, row, eris.Wrap(machine.Restore(content), "restore the configuration")
}

// readContent returns the content that the head refers to. It returns an error if a
// later change has removed some of the rows; the caller must then read the head again.
func (s *Service) readContent(ctx context.Context, current head) ([]byte, error) {
	var content []byte
	from, rowCount := current.Name, 0
	for {
		var page state.Page
		err := s.options.Store.Retry(ctx, func() error {
			var err error
			page, err = s.options.Store.Read(ctx, state.Range{Table: tableContent, From: from, To: current.Name + "~"})
			return err
		})
		if err != nil {
			return nil, eris.Wrap(err, "read the configuration")
		}
		for _, row := range page.Rows {
			content = append(content, row.Value...)
			rowCount++
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
	if rowCount != current.Rows {
		return nil, eris.Errorf("read the configuration: found %d of %d rows of revision %d", rowCount, current.Rows, current.Revision)
	}
	return content, nil
}

// write commits the state of the machine to new content rows, and then the head that
// refers to them, on the condition that the head row is still the previous one.
func (s *Service) write(ctx context.Context, previous state.Row, machine *configuration.Machine) error {
	content, err := machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	next := head{Revision: machine.Current().Revision, Nonce: rand.Uint64()}
	next.Name = fmt.Sprintf("%016x-%016x/", next.Revision, next.Nonce)
	var puts []state.Put
	for chunk := range slices.Chunk(content, s.options.MaxRowBytes) {
		puts = append(puts, state.Put{Key: state.Key{Table: tableContent, Name: next.Name + fmt.Sprintf("%06x", len(puts))}, Value: chunk})
	}
	next.Rows = len(puts)
	if err := s.writeContent(ctx, puts); err != nil {
		return err
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode the head of the configuration")
	}
	_, err = s.options.Store.Commit(ctx, state.Commit{
		Conditions: []state.Condition{{Key: headKey, Version: previous.Version}},
		Puts:       []state.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		return eris.Wrap(err, "write the head of the configuration")
	}
	s.removeOldContents(ctx, next)
	return nil
}

func (s *Service) writeContent(ctx context.Context, puts []state.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < maxCommitRows && (count == 0 || size+len(puts[count].Value) <= maxCommitBytes) {
			size += len(puts[count].Value)
			count++
		}
		if _, err := s.options.Store.Commit(ctx, state.Commit{Puts: puts[:count]}); err != nil {
			if errors.Is(err, state.ErrUnknownOutcome) {
				return eris.Wrap(state.ErrNotExecuted, "write the configuration: the store did not answer the commit of the content rows; the head row is unchanged")
			}
			return eris.Wrap(err, "write the configuration")
		}
		puts = puts[count:]
	}
	return nil
}

// retainedContents is the number of older revisions whose content rows are retained
// for daemons that are still reading them.
const retainedContents = 3

// removeOldContents removes the content rows of older revisions, but retains those of
// the last retainedContents revisions before the current one. It removes at most
// maxCommitRows rows and ignores errors.
func (s *Service) removeOldContents(ctx context.Context, current head) {
	if current.Revision <= retainedContents {
		return
	}
	oldest := fmt.Sprintf("%016x", current.Revision-retainedContents)
	page, err := s.options.Store.Read(ctx, state.Range{Table: tableContent, To: oldest, Limit: maxCommitRows})
	if err != nil || len(page.Rows) == 0 {
		return
	}
	var keys []state.Key
	for _, row := range page.Rows {
		if strings.Contains(row.Key.Name, "/") {
			keys = append(keys, row.Key)
		}
	}
	_, _ = s.options.Store.Commit(ctx, state.Commit{Removals: keys}) // the next change removes rows that remain
}
