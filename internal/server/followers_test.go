package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/routetable"
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
			onChange: func() {},
			schema:   addressRows{}, fleet: backend.NewFleet(time.Now), retainRemoved: time.Minute, onRead: func() {}, log: zap.New(core),
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

var _ = Describe("A configuration that cannot be decoded", func() {
	// Guards against a denial by the previous configuration as if it were the store's newest one.
	It("leaves the previous one in force, but not confirmed", func() {
		follower := &configurationFollower{schema: revisionSchema{}, routes: &routetable.Holder{}, onChange: func(*routetable.Table) {}, log: zap.NewNop()}
		row := func(value string) []state.Row { return []state.Row{{Key: configurationKey, Value: []byte(value)}} }
		follower.Replace(row("1"), 1)
		follower.confirm(time.Now().Add(-time.Hour))
		follower.Apply(row("not a revision"))
		follower.confirm(time.Now())
		age, _ := follower.routes.View().Age()
		Expect(follower.routes.Current().Revision).To(BeEquivalentTo(1))
		Expect(age).To(BeNumerically(">=", time.Hour))
		follower.Apply(row("3"))
		follower.confirm(time.Now())
		age, _ = follower.routes.View().Age()
		Expect(follower.routes.Current().Revision).To(BeEquivalentTo(3))
		Expect(age).To(BeNumerically("<", time.Hour))
	})
})
