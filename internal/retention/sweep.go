package retention

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Sweep looks through a table for rows that outlived their time.
type Sweep struct {
	Store      *state.Client
	Table      string
	Partitions []string
	// Mine tells whether this daemon sweeps a partition; others sweep the rest.
	Mine func(partition string) bool
	// Over tells whether a row's time is over.
	Over func(row state.Row) bool
	Log  *zap.Logger
}

// sweepEvery is how long a pass over all partitions takes.
const sweepEvery = time.Hour

// Run sweeps one partition after another until the context ends.
func (s *Sweep) Run(ctx context.Context) {
	between := sweepEvery / time.Duration(len(s.Partitions))
	for {
		for _, partition := range s.Partitions {
			if !pause.For(ctx, between) {
				return
			}
			if !s.Mine(partition) {
				continue
			}
			limited, cancel := context.WithTimeout(ctx, removalLimit)
			removed, err := s.Partition(limited, partition)
			cancel()
			if err != nil || removed > 0 {
				s.Log.Info("retention: swept.", zap.String("table", s.Table), zap.String("partition", partition), zap.Int("removed", removed), zap.Error(err))
			}
		}
	}
}

// Partition sweeps one partition and returns how many rows it removed. A row
// is removed only in the version that was read.
func (s *Sweep) Partition(ctx context.Context, partition string) (int, error) {
	removed := 0
	from := ""
	for {
		page, err := s.Store.Read(ctx, state.Range{Class: state.ClassSweep, Table: s.Table, Partition: partition, From: from})
		if err != nil {
			return removed, err
		}
		count, err := s.removeOver(ctx, page.Rows)
		removed += count
		if err != nil || !page.More || len(page.Rows) == 0 {
			return removed, err
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

// removeOver removes rows one commit at a time, since one changed row among
// many would hold all of them up.
func (s *Sweep) removeOver(ctx context.Context, rows []state.Row) (int, error) {
	const perCommit = rowsPerCommit / 2 // a condition and a removal for each row
	commit := state.Commit{Class: state.ClassSweep}
	count := 0
	flush := func() error {
		if len(commit.Removals) == 0 {
			return nil
		}
		_, err := s.Store.Commit(ctx, commit)
		if err == nil {
			count += len(commit.Removals)
		}
		commit = state.Commit{Class: state.ClassSweep}
		return err
	}
	for _, row := range rows {
		if !s.Over(row) {
			continue
		}
		commit.Conditions = append(commit.Conditions, state.Condition{Key: row.Key, Version: row.Version})
		commit.Removals = append(commit.Removals, row.Key)
		if len(commit.Removals) == perCommit {
			if err := flush(); err != nil {
				return count, err
			}
		}
	}
	return count, flush()
}
