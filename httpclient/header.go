package httpclient

import (
	"net/http"
	"strings"
)

// private are the headers that concern one connection alone, or the caller's key.
var private = []string{
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

// DropPrivate takes out what must not go further, also what Connection names.
func DropPrivate(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range private {
		h.Del(name)
	}
}
