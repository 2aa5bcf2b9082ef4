package retention

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Sweep removes expired rows from a table.
type Sweep struct {
	Store      *state.Client
	Table      string
	Partitions []string
	// OwnsPartition reports whether this daemon sweeps a partition.
	OwnsPartition func(partition string) bool
	// IsExpired reports whether a row has expired.
	IsExpired func(row state.Row) bool
	Log       *zap.Logger
	// PassDuration is the duration of a pass over all partitions; 0 means one hour.
	PassDuration time.Duration
}

// defaultPassDuration is the duration of a pass if Every is not set. It suits tables whose rows
// are normally removed by their writers, or whose expired rows may stay for long.
const defaultPassDuration = time.Hour

// Run sweeps one partition after another, spread evenly over a pass, until the context ends.
func (s *Sweep) Run(ctx context.Context) {
	passDuration := s.PassDuration
	if passDuration <= 0 {
		passDuration = defaultPassDuration
	}
	interval := passDuration / time.Duration(len(s.Partitions))
	for {
		for _, partition := range s.Partitions {
			if !pause.Sleep(ctx, interval) {
				return
			}
			if !s.OwnsPartition(partition) {
				continue
			}
			timeoutCtx, cancel := context.WithTimeout(ctx, removalTimeout)
			removed, err := s.SweepPartition(timeoutCtx, partition)
			cancel()
			if err != nil || removed > 0 {
				s.Log.Info("retention: sweep of partition ended.", zap.String("table", s.Table), zap.String("partition", partition), zap.Int("removed", removed), zap.Error(err))
			}
		}
	}
}

// SweepPartition sweeps one partition and returns the number of removed rows. It does not remove a
// row that changed after it was read.
func (s *Sweep) SweepPartition(ctx context.Context, partition string) (int, error) {
	removed := 0
	start := ""
	for {
		page, err := s.Store.Read(ctx, state.Range{Class: state.ClassSweep, Table: s.Table, Partition: partition, From: start})
		if err != nil {
			return removed, err
		}
		count, err := s.removeExpired(ctx, page.Rows)
		removed += count
		if err != nil || !page.More || len(page.Rows) == 0 {
			return removed, err
		}
		start = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

// removeExpired removes the expired rows among the given ones. It makes commits of limited size,
// since a single changed row makes its whole commit fail.
func (s *Sweep) removeExpired(ctx context.Context, rows []state.Row) (int, error) {
	const maxRemovals = maxRowsPerCommit / 2 // each row takes a condition and a removal
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
		if !s.IsExpired(row) {
			continue
		}
		commit.Conditions = append(commit.Conditions, state.Condition{Key: row.Key, Version: row.Version})
		commit.Removals = append(commit.Removals, row.Key)
		if len(commit.Removals) == maxRemovals {
			if err := flush(); err != nil {
				return count, err
			}
		}
	}
	return count, flush()
}
