package httpclient

import (
	"bytes"
	"io"
	"net/http"
)

// NewRequest returns a request that net/http sends at most once.
//
// By default, net/http repeats a GET, and any request with an Idempotency-Key header, if the
// connection closes before a response, and a backend server would run the request twice. A
// body that cannot be rewound prevents the repetition, even if it is empty.
func NewRequest(method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	return req, nil
}
