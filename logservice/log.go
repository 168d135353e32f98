package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpclient"
)

func recordsPath(s galenastair.Stream) string {
	return "/streams/" + url.PathEscape(string(s)) + "/records"
}

// Append appends a record to a stream. Its error wraps ErrAppendRefused if the record has
// not been appended; with any other error it may have been.
func (c *Client) Append(ctx context.Context, s galenastair.Stream, data []byte) (galenastair.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sending := httpclient.WithRequestTrace(ctx)
	status, body, err := c.do(ctx, http.MethodPost, recordsPath(s), data)
	if err != nil && status == 0 && sending.NotSent() {
		return 0, eris.Wrapf(galenastair.ErrAppendRefused, "not sent: %v", err)
	}
	if err != nil {
		return 0, eris.Wrapf(galenastair.ErrAppendUnknown, "%v", err)
	}
	if isAppendRefused(status) {
		return 0, eris.Wrapf(galenastair.ErrAppendRefused, "status %d", status)
	}
	if status != http.StatusOK {
		return 0, eris.Wrapf(galenastair.ErrAppendUnknown, "status %d", status)
	}
	var resp AppendResponse
	if err := json.Unmarshal(body, &resp); err != nil || resp.Offset <= 0 {
		return 0, eris.Wrapf(galenastair.ErrAppendUnknown, "invalid response: %v", err)
	}
	return resp.Offset, nil
}

// isAppendRefused reports whether the status says that the record has not been appended.
func isAppendRefused(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// Read returns the records of a stream from the given offset. If there are none yet, the
// platform waits up to wait for the first.
func (c *Client) Read(ctx context.Context, s galenastair.Stream, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	from = max(from, 1)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	path := fmt.Sprintf("%s?from=%d&wait=%s", recordsPath(s), from, wait)
	status, body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return galenastair.Batch{}, eris.Wrapf(galenastair.ErrLogUnavailable, "%v", err)
	}
	if status == http.StatusGone {
		return galenastair.Batch{}, eris.Wrapf(galenastair.ErrExpired, "from offset %d", from)
	}
	if status != http.StatusOK {
		return galenastair.Batch{}, eris.Wrapf(galenastair.ErrLogUnavailable, "status %d", status)
	}
	var resp ReadResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		return galenastair.Batch{}, eris.Wrapf(galenastair.ErrLogUnavailable, "invalid response: %v", err)
	}
	if err := checkOffsets(resp.Records, from); err != nil {
		return galenastair.Batch{}, err
	}
	return galenastair.Batch{Records: resp.Records, First: resp.First, Next: resp.Next}, nil
}

// checkOffsets returns an error if records are missing or duplicated: the state that this
// instance derives from the log would permanently diverge from that of the others.
func checkOffsets(records []galenastair.LogRecord, from galenastair.Offset) error {
	for i, r := range records {
		if want := from + galenastair.Offset(i); r.Offset != want {
			return eris.Wrapf(galenastair.ErrLogUnavailable, "got offset %d, want %d", r.Offset, want)
		}
	}
	return nil
}
