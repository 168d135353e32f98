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

// Route is the destination of requests in the format of the users' platform, which the
// system forwards without parsing their body. The body is the prompt, and only its size
// matters.
type Route struct {
	Host string
	Path string
}

// bytesPerToken is the approximate size of a token of plain text. It converts the size
// of a prompt into the token count that callers of an engine pass as a hint.
const bytesPerToken = 4

// newOpaqueRequest returns a request in the format of the users' platform.
func newOpaqueRequest(ctx context.Context, target string, a arrival) (*http.Request, error) {
	body := strings.NewReader(a.params.Prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+a.source.Route.Path, body)
	if err != nil {
		return nil, err
	}
	req.Host = a.source.Route.Host
	c := platform.CallerRequest{ID: galenastair.RequestID(uuid.NewString()), Key: a.source.Key}
	if deadline, ok := ctx.Deadline(); ok {
		c.Timeout = time.Until(deadline)
	}
	if a.params.Model != "" {
		c.Hints = galenastair.RequestHints{
			Model:          a.params.Model,
			PromptTokens:   galenastair.Tokens(len(a.params.Prompt) / bytesPerToken),
			OutputTokens:   galenastair.Tokens(a.params.Tokens),
			HasTokenCounts: true,
		}
	}
	platform.EncodeCallerRequest(req.Header, c)
	return req, nil
}

// readOpaqueResponse reads a response to a request sent with a Route. The response is
// complete if its HTTP framing ends without an error.
func (s *sample) readOpaqueResponse(ctx context.Context, resp *http.Response, due time.Time) {
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		s.code = galenastair.Code(fmt.Sprintf("Status%d", resp.StatusCode))
		if platform.PromisesNotRun(resp.StatusCode) {
			s.outcome = galenastair.OutcomeNotRun
		}
		return
	}
	r := bufio.NewReaderSize(resp.Body, readBufferBytes)
	for {
		line, err := r.ReadBytes('\n')
		if s.lastTokenAt.IsZero() && len(line) > 0 || bytes.HasPrefix(line, dataPrefix) {
			s.recordToken(time.Now(), due)
		}
		switch {
		case errors.Is(err, io.EOF):
			s.code, s.outcome = codeComplete, galenastair.OutcomeRan
			return
		case err != nil:
			s.code = codeTruncated
			s.markTimeout(ctx)
			return
		}
	}
}
