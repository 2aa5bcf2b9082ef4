package load

import (
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/peer"
)

// countingCaller answers nothing and counts the calls.
type countingCaller struct{ calls *int }

var counting sync.Mutex

// Call implements peer.Caller.
func (c countingCaller) Call(context.Context, string, peer.Class, string, any, any) error {
	counting.Lock()
	defer counting.Unlock()
	*c.calls++
	return nil
}
