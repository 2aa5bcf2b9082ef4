package answer

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// Transport sends requests by net/http. It guarantees of each response that CheckResponse has accepted its
// head, and that a body which only its connection ends does not end in io.EOF if the connection was reset.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses base, which must not be used otherwise. It replaces the
// function by which base opens connections, whose results net/http's traces show as *Connection.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = Dial(dial)
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		t.base.CloseIdleConnections() // net/http keeps the connection of a response without a body
		return nil, eris.Wrapf(err, "read answer from %s", request.URL.Host)
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses, as http.Client expects.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
