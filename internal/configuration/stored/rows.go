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

// The tables. The content has a table of its own, so that those who follow
// the head do not get it with every change.
const (
	tableHead    = "configuration"
	tableContent = "configuration-content"
	nameHead     = "head"
)

const (
	mostRowsTogether  = 90        // of one commit
	mostBytesTogether = 640 << 10 // of one commit
)

// head is the row on whose version every change hangs.
type head struct {
	Revision uint64 `cbor:"r"`
	Name     string `cbor:"n"` // of the content's rows
	Rows     int    `cbor:"c"`
	Nonce    uint64 `cbor:"x"`
}

var headKey = state.Key{Table: tableHead, Name: nameHead}

// read gives a machine with the store's state, and the head that it hangs on.
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
	var told head
	if err := cbor.Unmarshal(row.Value, &told); err != nil {
		return nil, row, eris.Wrap(err, "decode the head of the configuration")
	}
	content, err := s.readContent(ctx, told)
	if err != nil {
		return nil, row, err
	}
	return machine, row, eris.Wrap(machine.Restore(content), "restore the configuration")
}

// readContent gives what the head names. A later change may have removed it
// meanwhile; then the head is read again.
func (s *Service) readContent(ctx context.Context, told head) ([]byte, error) {
	var content []byte
	from, found := told.Name, 0
	for {
		var page state.Page
		err := s.options.Store.Retry(ctx, func() error {
			var err error
			page, err = s.options.Store.Read(ctx, state.Range{Table: tableContent, From: from, To: told.Name + "~"})
			return err
		})
		if err != nil {
			return nil, eris.Wrap(err, "read the configuration")
		}
		for _, row := range page.Rows {
			content = append(content, row.Value...)
			found++
		}
		if !page.More || len(page.Rows) == 0 {
			break
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
	if found != told.Rows {
		return nil, eris.Errorf("read the configuration: %d of %d rows of revision %d", found, told.Rows, told.Revision)
	}
	return content, nil
}

// write puts the content in rows of its own, and then the head that names them.
func (s *Service) write(ctx context.Context, former state.Row, machine *configuration.Machine) error {
	content, err := machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "encode the configuration")
	}
	next := head{Revision: machine.Current().Revision, Nonce: rand.Uint64()}
	next.Name = fmt.Sprintf("%016x-%016x/", next.Revision, next.Nonce)
	var puts []state.Put
	for piece := range slices.Chunk(content, s.options.RowBytes) {
		puts = append(puts, state.Put{Key: state.Key{Table: tableContent, Name: next.Name + fmt.Sprintf("%06x", len(puts))}, Value: piece})
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
		Conditions: []state.Condition{{Key: headKey, Version: former.Version}},
		Puts:       []state.Put{{Key: headKey, Value: value}},
	})
	if err != nil {
		return eris.Wrap(err, "write the head of the configuration")
	}
	s.clean(ctx, next)
	return nil
}

func (s *Service) writeContent(ctx context.Context, puts []state.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < mostRowsTogether && (count == 0 || size+len(puts[count].Value) <= mostBytesTogether) {
			size += len(puts[count].Value)
			count++
		}
		if _, err := s.options.Store.Commit(ctx, state.Commit{Puts: puts[:count]}); err != nil {
			if errors.Is(err, state.ErrUnknownOutcome) {
				return eris.Wrap(state.ErrNotExecuted, "write the configuration: its rows are not named yet")
			}
			return eris.Wrap(err, "write the configuration")
		}
		puts = puts[count:]
	}
	return nil
}

// keptRevisions is how many former contents stay, for readers under way.
const keptRevisions = 3

// clean removes contents that no head will name any more.
func (s *Service) clean(ctx context.Context, current head) {
	if current.Revision <= keptRevisions {
		return
	}
	oldest := fmt.Sprintf("%016x", current.Revision-keptRevisions)
	page, err := s.options.Store.Read(ctx, state.Range{Table: tableContent, To: oldest, Limit: mostRowsTogether})
	if err != nil || len(page.Rows) == 0 {
		return
	}
	var keys []state.Key
	for _, row := range page.Rows {
		if strings.Contains(row.Key.Name, "/") {
			keys = append(keys, row.Key)
		}
	}
	_, _ = s.options.Store.Commit(ctx, state.Commit{Removals: keys}) // what stays is removed the next time
}
