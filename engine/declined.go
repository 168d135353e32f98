package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"galenastair"
)

// Declined is an engine's own word that it did not run a request or order.
type Declined struct {
	Status     int
	RetryAfter time.Duration
	Detail     string
}

// Error returns the status and what the engine said.
func (d *Declined) Error() string {
	return fmt.Sprintf("%s: status %d: %s", galenastair.ErrDeclined, d.Status, d.Detail)
}

// Unwrap returns ErrDeclined.
func (d *Declined) Unwrap() error { return galenastair.ErrDeclined }

func declined(resp *http.Response, detail []byte) *Declined {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		seconds = 0
	}
	return &Declined{
		Status:     resp.StatusCode,
		RetryAfter: time.Duration(seconds) * time.Second,
		Detail:     string(detail),
	}
}
