package routing_test

import (
	"context"
	"testing"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/routing"
)

// BenchmarkFollow measures one Follow operation at another daemon over loopback,
// which includes the router, net/rpc and gob on both sides.
func BenchmarkFollow(b *testing.B) {
	leader, err := peer.Listen("127.0.0.1:0", peer.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer leader.Close()
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	local := &fakeDaemon{}
	local.leading.Store(true)
	replicas := []identity.Process{{Machine: "a", Address: leader.Address()}}
	options := routing.Options{Self: replicas[0], Local: local, Groups: noGroups{}, ShardMap: mapOf(replicas[0]), PeerClient: pool, Registrar: leader}
	if _, err := routing.New(options); err != nil {
		b.Fatal(err)
	}
	options.Self, options.Registrar = identity.Process{Address: "elsewhere"}, noRegistrar{}
	router, err := routing.New(options)
	if err != nil {
		b.Fatal(err)
	}
	arguments := execution.FollowArguments{Tenant: "tenant", Program: identity.NewProgram(1), Sequence: 1}
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			if reply, _ := router.Follow(context.Background(), arguments); !reply.Done {
				b.Error("reply is not final")
			}
		}
	})
}
