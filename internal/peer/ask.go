package peer

import "context"

// AskAll calls the method at all addresses at the same time, and returns the first reply that isUsable accepts.
// It returns false if there is none before the context ends. onFailure is called, by several goroutines at a
// time, for each call that fails before that.
func AskAll[Reply any](
	ctx context.Context, client Client, addresses []string, class Class, method string, request any,
	isUsable func(Reply) bool, onFailure func(address string, err error),
) (usable Reply, found bool) {
	replies := make(chan Reply, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply Reply
			if err := client.Call(ctx, address, class, method, request, &reply); err != nil && ctx.Err() == nil {
				onFailure(address, err)
			}
			replies <- reply
		}()
	}
	for range addresses {
		if reply := <-replies; isUsable(reply) {
			return reply, true
		}
	}
	return usable, false
}
