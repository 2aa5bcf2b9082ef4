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

// addressRows decodes a row whose value is the address of an engine. An empty
// value is an error.
type addressRows struct{ StoreSchema }

func (addressRows) DecodeInstance(row state.Row) (backend.Declaration, error) {
	if len(row.Value) == 0 {
		return backend.Declaration{}, eris.New("no engine")
	}
	return backend.Declaration{ID: row.Key.Name, Service: "s", Address: string(row.Value), Version: uint64(row.Version)}, nil
}

var _ = Describe("Engine rows that cannot be decoded", func() {
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
			schema: addressRows{}, fleet: backend.NewFleet(time.Now), retainRemoved: time.Minute, onRead: func() {}, log: zap.New(core),
		}
	})

	known := func() []string {
		var ids []string
		for _, instance := range follower.fleet.Instances("s") {
			ids = append(ids, instance.ID)
		}
		return ids
	}

	DescribeTable("are logged and do not affect other rows", func(read func()) {
		read()
		Expect(known()).To(ConsistOf("a", "c"))
		Expect(follower.fleet.Size()).To(Equal(2))
		Expect(logged.FilterMessage("engine: row cannot be decoded.").FilterField(zap.String("engine", "b")).Len()).To(Equal(1))
	},
		Entry("when all rows are read", func() { follower.Replace(rows, 3) }),
		Entry("when rows change", func() { follower.Apply(rows) }),
	)
})
