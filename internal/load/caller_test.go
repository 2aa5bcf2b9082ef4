package load

import (
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/peer"
)

// countingCaller is a peer.Caller that counts the calls and leaves the replies empty.
type countingCaller struct{ calls *int }

var callsMutex sync.Mutex

// Call implements peer.Caller.
func (c countingCaller) Call(context.Context, string, peer.Class, string, any, any) error {
	callsMutex.Lock()
	defer callsMutex.Unlock()
	*c.calls++
	return nil
}
