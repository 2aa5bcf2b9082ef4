package ingress

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
)

// echo answers with the number of header fields, and the length of the body that it has read.
func echo(writer http.ResponseWriter, request *http.Request) {
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil || !FromContext(request.Context()).InputComplete() {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "%s %d %d", request.URL.Path, len(request.Header), length)
}

// serve starts a server behind a new limiter of the group, and returns the limiter and the address.
func serve(group *Group, options LimiterOptions, handler http.HandlerFunc) (*Limiter, string, func()) {
	opened, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	limiter := group.NewLimiter(options)
	server := &http.Server{
		Handler: handler, ConnState: limiter.OnStateChange, ConnContext: WithConn, ErrorLog: log.New(io.Discard, "", 0),
		ReadHeaderTimeout: testHeaderTimeout, MaxHeaderBytes: testHeaderBytes,
	}
	go func() { _ = server.Serve(limiter.Listen(opened, testHeaderTimeout, testHeaderBytes)) }()
	return limiter, opened.Addr().String(), func() { _ = server.Close() }
}
