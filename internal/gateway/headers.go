package gateway

import (
	"net/http"
	"strings"
)

// dropConnectionHeaders removes the hop-by-hop headers, including those that the Connection
// header names.
func dropConnectionHeaders(header http.Header) {
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// connectionHeaders are the headers that a proxy must not forward, and those that net/http
// sets itself.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}
