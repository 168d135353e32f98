package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"galenastair"
)

// DeclinedError is an engine's response that it has not run a request or acted on an order.
type DeclinedError struct {
	Status     int
	RetryAfter time.Duration
	Detail     string
}

// Error returns the status and the body of the engine's response.
func (d *DeclinedError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", galenastair.ErrDeclined, d.Status, d.Detail)
}

// Unwrap returns ErrDeclined.
func (d *DeclinedError) Unwrap() error { return galenastair.ErrDeclined }

func newDeclinedError(resp *http.Response, detail []byte) *DeclinedError {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		seconds = 0
	}
	return &DeclinedError{
		Status:     resp.StatusCode,
		RetryAfter: time.Duration(seconds) * time.Second,
		Detail:     string(detail),
	}
}
