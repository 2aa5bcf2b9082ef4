package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkExchange measures a small request to an instance on a connection that stays open, until its answer
// is read.
func BenchmarkExchange(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go answerAll(listener, strings.Repeat("x", 512))
	fleet := NewFleet(time.Now)
	fleet.Apply(Declaration{ID: "i", Service: "s", Address: listener.Addr().String(), Slots: 1})
	instance := fleet.Instances("s")[0]
	body := [][]byte{[]byte(strings.Repeat("x", 512))}
	b.ReportAllocs()
	for b.Loop() {
		reply, err := instance.Exchange(b.Context(), &OutgoingRequest{
			Method: http.MethodPost, Target: "/pay/", Host: "a.example", Body: body,
			Header:          http.Header{"Request-Id": {"9c41d07be2a35f68"}, "Time-Left": {"4000"}, "Expected-Id": {"i"}},
			MatchesResponse: func(header http.Header) bool { return header.Get("Request-Id") == "9c41d07be2a35f68" },
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, reply.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// answerAll answers each request on the first connection with the body.
func answerAll(listener net.Listener, body string) {
	connection, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nSignature: 5f2a9c1\r\nContent-Type: application/json\r\n"+
		"Date: Mon, 07 Dec 2026 10:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
	}
}
