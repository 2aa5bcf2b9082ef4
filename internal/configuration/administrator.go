package configuration

import (
	"context"
)

// Source provides the configuration revision that is in force at this daemon.
type Source interface {
	// Current returns the revision in force. It never returns nil and never
	// goes back to an earlier revision.
	Current() *Snapshot
	// IsConfirmed reports whether the daemon has verified recently enough that its
	// revision is the latest one. If it has not, new work must be refused.
	IsConfirmed() bool
	// Subscribe returns a channel that receives a signal after each change of
	// the revision in force. Several changes may be reported by one signal.
	Subscribe() <-chan struct{}
}

// Administrator reads and changes the configuration on behalf of operators. It
// works at every daemon.
type Administrator interface {
	Source
	// Change submits the change and returns its outcome. If the error wraps
	// ErrChangeUncertain, the change may have been accepted; the caller should
	// repeat it with the same identifier.
	Change(ctx context.Context, change Change) (ChangeResult, error)
	// History returns the latest revisions, newest first. The limit is the
	// maximum number of revisions returned.
	History(ctx context.Context, limit int) ([]Revision, error)
}
