package client_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/platform"
	"github.com/thymeloft/thymeloft/internal/platform/client"
)

// Guards against a part of a reply that is taken for the whole, and against memory that a reply uses up.
var _ = It("takes a reply that is too large for none", func() {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, `{"machines":[]}`)
		line := strings.Repeat(" ", 64<<10)
		for range 256 {
			if _, err := io.WriteString(writer, line); err != nil {
				return
			}
		}
	}))
	DeferCleanup(server.Close)
	_, err := client.NewMachineList(server.URL, nil).List(context.Background())
	Expect(err).To(MatchError(platform.ErrUnavailable))
})
