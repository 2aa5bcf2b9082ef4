package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// http10Transport sends each request with HTTP/1.0 over a connection of its own.
type http10Transport struct{}

// RoundTrip implements http.RoundTripper.
func (http10Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	connection, err := (&net.Dialer{}).DialContext(request.Context(), "tcp", request.URL.Host)
	if err != nil {
		return nil, err
	}
	if deadline, hasDeadline := request.Context().Deadline(); hasDeadline {
		_ = connection.SetDeadline(deadline) // fails only if the connection is closed already
	}
	response, err := exchangeHTTP10(connection, request)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	response.Body = connectionBody{ReadCloser: response.Body, connection: connection}
	return response, nil
}

func exchangeHTTP10(connection net.Conn, request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", request.Method, request.URL.RequestURI(), request.Host, len(body))
	_ = request.Header.Write(&text)
	text.WriteString("\r\n" + string(body))
	if _, err := io.WriteString(connection, text.String()); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(connection), request)
}

// connectionBody is the body of an answer that ends with its connection.
type connectionBody struct {
	io.ReadCloser
	connection net.Conn
}

// Close implements io.Closer.
func (b connectionBody) Close() error { return b.connection.Close() }
