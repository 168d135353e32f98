package answer

import (
	"net/http"

	"galenastair"
)

// SetHeader sets the headers of an answer to a request: its ID and the server's signature.
func SetHeader(h http.Header, id galenastair.RequestID, signature string) {
	h.Set("Galenastair-Attempt-Id", string(id))
	h.Set("Galenastair-Server-Signature", signature)
}
