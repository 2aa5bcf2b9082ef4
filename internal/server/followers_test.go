package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/state"
)

// namedRows reads a row's value as the address of an engine; an empty one is no engine's.
type namedRows struct{ Rows }

func (namedRows) Instance(row state.Row) (backend.Declaration, error) {
	if len(row.Value) == 0 {
		return backend.Declaration{}, eris.New("no engine")
	}
	return backend.Declaration{ID: row.Key.Name, Service: "s", Address: string(row.Value), Version: uint64(row.Version)}, nil
}

var _ = Describe("Rows of engines that cannot be read", func() {
	var follower *instanceFollower
	var logged *observer.ObservedLogs
	rows := []state.Row{
		{Key: state.Key{Name: "a"}, Value: []byte("a:1"), Version: 1},
		{Key: state.Key{Name: "b"}, Version: 2},
		{Key: state.Key{Name: "c"}, Value: []byte("c:1"), Version: 3},
	}

	BeforeEach(func() {
		core, observed := observer.New(zap.InfoLevel)
		logged = observed
		follower = &instanceFollower{
			rows: namedRows{}, fleet: backend.NewFleet(time.Now), keep: time.Minute, onRead: func() {}, log: zap.New(core),
		}
	})

	known := func() []string {
		var ids []string
		for _, instance := range follower.fleet.Instances("s") {
			ids = append(ids, instance.ID)
		}
		return ids
	}

	DescribeTable("leave the others in use, with a line in the log", func(read func()) {
		read()
		Expect(known()).To(ConsistOf("a", "c"))
		Expect(follower.fleet.Size()).To(Equal(2))
		Expect(logged.FilterMessage("engine: entry cannot be read.").FilterField(zap.String("engine", "b")).Len()).To(Equal(1))
	},
		Entry("in a whole reading", func() { follower.Replace(rows, 3) }),
		Entry("in a change", func() { follower.Apply(rows) }),
	)
})
