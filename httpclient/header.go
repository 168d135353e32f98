package httpclient

import (
	"net/http"
	"strings"
)

// nonForwardedHeaders are the hop-by-hop headers and the headers with the caller's credentials.
var nonForwardedHeaders = []string{
	"Authorization",
	"Connection",
	"Cookie",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// RemoveNonForwardedHeaders removes the headers that must not be forwarded, including those that
// the Connection header lists.
func RemoveNonForwardedHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range nonForwardedHeaders {
		h.Del(name)
	}
}
