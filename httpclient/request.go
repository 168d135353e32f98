package httpclient

import (
	"bytes"
	"io"
	"net/http"
)

// NewRequest returns a request that net/http sends at most once.
//
// It sends a GET, or any request with an Idempotency-Key header, again by itself
// when the connection closes before an answer, and a backend server would run it
// twice. A body that cannot be rewound keeps it from that, also an empty one.
func NewRequest(method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	return req, nil
}
