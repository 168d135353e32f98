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

// Append adds one record; an error that is not ErrAppendRefused leaves its effect unknown.
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
	if refusesAppend(status) {
		return 0, eris.Wrapf(galenastair.ErrAppendRefused, "status %d", status)
	}
	if status != http.StatusOK {
		return 0, eris.Wrapf(galenastair.ErrAppendUnknown, "status %d", status)
	}
	var answer AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Offset <= 0 {
		return 0, eris.Wrapf(galenastair.ErrAppendUnknown, "unreadable answer: %v", err)
	}
	return answer.Offset, nil
}

// refusesAppend says whether a status is given only before acting.
func refusesAppend(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// Read returns records from an offset on, waiting up to wait for the first.
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
	var answer ReadAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return galenastair.Batch{}, eris.Wrapf(galenastair.ErrLogUnavailable, "unreadable answer: %v", err)
	}
	if err := inOrder(answer.Records, from); err != nil {
		return galenastair.Batch{}, err
	}
	return galenastair.Batch{Records: answer.Records, First: answer.First, Next: answer.Next}, nil
}

// inOrder guards against a gap or a doubled record: a fold over it would differ
// from that of the other instances and never meet theirs again.
func inOrder(records []galenastair.LogRecord, from galenastair.Offset) error {
	for i, r := range records {
		if want := from + galenastair.Offset(i); r.Offset != want {
			return eris.Wrapf(galenastair.ErrLogUnavailable, "offset %d where %d was due", r.Offset, want)
		}
	}
	return nil
}
