package gateway

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/routetable"
)

// noHeaders is a codec of requests without headers of their own.
type noHeaders struct{ HeaderCodec }

func (noHeaders) ParseCall(http.Header) (Call, error) { return Call{}, nil }

func (noHeaders) SetRefusal(http.Header, string, time.Duration) {}

var _ = Describe("A denial", func() {
	// Guards against a 404 by an old table that is thought to be as fresh as its replacement.
	It("rests on the age of the table that decides, even if a newer one is confirmed meanwhile", func() {
		routes := &routetable.Holder{}
		routes.Replace(routetable.New(1, routetable.Limits{}, nil, nil))
		routes.Confirm(time.Now().Add(-time.Hour))
		confirmNewer := func() (time.Duration, bool) { // called after the request has taken its table
			routes.Replace(routetable.New(2, routetable.Limits{}, []*routetable.Route{{Host: "added.example", Prefix: "/"}}, nil))
			routes.Confirm(time.Now())
			return 0, true
		}
		handler := New(Options{
			Routes: routes, HeaderCodec: noHeaders{}, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
			MaxConfigurationAge: time.Minute, InstancesAge: confirmNewer,
		})
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "http://added.example/", nil))
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	})
})
