package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"galenastair"
	"galenastair/platform"
)

// Route is where requests go that the system passes on without reading them, on the users'
// platform. The prompt is their body, and only its size matters.
type Route struct {
	Host string
	Path string
}

// bytesPerToken is about what a token of plain text takes; it turns a prompt's size into
// the hint that an engine's caller gives.
const bytesPerToken = 4

// newOpaque returns a request on the users' platform.
func newOpaque(ctx context.Context, target string, a arrival) (*http.Request, error) {
	body := strings.NewReader(a.question.Prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+a.source.Route.Path, body)
	if err != nil {
		return nil, err
	}
	req.Host = a.source.Route.Host
	c := platform.CallerRequest{ID: galenastair.RequestID(uuid.NewString()), Key: a.source.Key}
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = time.Until(deadline)
	}
	if a.question.Model != "" {
		c.Hints = galenastair.Hints{
			Model:   a.question.Model,
			Prompt:  galenastair.Tokens(len(a.question.Prompt) / bytesPerToken),
			Output:  galenastair.Tokens(a.question.Tokens),
			Counted: true,
		}
	}
	platform.EncodeCallerRequest(req.Header, c)
	return req, nil
}

// readOpaque reads an answer of the users' platform: whole if its framing ends well.
func (s *sample) readOpaque(ctx context.Context, resp *http.Response, due time.Time) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		s.code = galenastair.Code(fmt.Sprintf("Status%d", resp.StatusCode))
		if platform.PromisesNotRun(resp.StatusCode) {
			s.outcome = galenastair.NotRun
		}
		return
	}
	r := bufio.NewReaderSize(resp.Body, readBuffer)
	for {
		line, err := r.ReadBytes('\n')
		if s.last.IsZero() && len(line) > 0 || bytes.HasPrefix(line, dataField) {
			s.token(time.Now(), due)
		}
		switch {
		case errors.Is(err, io.EOF):
			s.code, s.outcome = codeWhole, galenastair.Ran
			return
		case err != nil:
			s.code = codeCut
			s.lost(ctx)
			return
		}
	}
}
