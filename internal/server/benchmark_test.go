package server

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
)

// BenchmarkOrdinaryRequest measures a small request on a connection that stays open, from its first byte
// until the client has read the answer.
func BenchmarkOrdinaryRequest(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		ingress.FromContext(request.Context()).InputComplete()
		_, _ = io.WriteString(writer, "done")
	})
	group := ingress.NewGroup(memory.NewAccount(1<<24), zap.NewNop())
	served := newCallerServer(listener, handler, nil, group, 1000, log.New(io.Discard, "", 0))
	defer func() { _ = served.Stop(b.Context()) }()
	connection, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	request := "POST /pay/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 4000\r\nContent-Length: 512\r\n\r\n" + strings.Repeat("x", 512)
	reader := bufio.NewReader(connection)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(connection, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}
