package gateway

import (
	"net/http"
	"strings"
)

// dropConnectionHeaders removes what concerns one connection only.
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

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}
