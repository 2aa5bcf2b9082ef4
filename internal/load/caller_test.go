package load

import (
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/peer"
)

// countingClient is a peer.Client that counts the calls and leaves the replies empty.
type countingClient struct{ calls *int }

var callsMutex sync.Mutex

// Call implements peer.Client.
func (c countingClient) Call(context.Context, string, peer.Class, string, any, any) error {
	callsMutex.Lock()
	defer callsMutex.Unlock()
	*c.calls++
	return nil
}
