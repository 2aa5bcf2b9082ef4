package backend

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against idle connections that keep the buffer of a large head.
var _ = It("keeps a small buffer for a connection after an answer with a large head", func(ctx SpecContext) {
	server := newRawServer(func(_ int64, id string, connection net.Conn) bool {
		_, err := io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nA: "+strings.Repeat("x", 20<<10)+"\r\nContent-Length: 4\r\n\r\nbody")
		return err == nil
	})
	instance := server.instance()
	for _, id := range []string{"1", "2"} {
		reply, err := instance.Exchange(ctx, &OutgoingRequest{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, MatchesResponse: func(http.Header) bool { return true },
		})
		Expect(err).NotTo(HaveOccurred())
		content, err := io.ReadAll(reply.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(content)).To(Equal("body"))
		Expect(instance.pool.idle).To(HaveLen(1))
		Expect(instance.pool.idle[0].reader.Size()).To(Equal(readBufferBytes))
	}
	Expect(server.connections.Load()).To(BeEquivalentTo(1))
})
