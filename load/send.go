package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"galenastair"
)

const (
	// readBufferBytes is enough for dozens of token events.
	readBufferBytes = 8 << 10
	// maxResponseBytes bounds the memory used for one response without streaming.
	maxResponseBytes = 4 << 20
)

// Codes of requests whose response carries no error code.
const (
	codeComplete    galenastair.Code = "Whole"
	codeWrongAnswer galenastair.Code = "WrongAnswer"
	codeTruncated   galenastair.Code = "CutUntold"
	codeNoAnswer    galenastair.Code = "NoAnswer"
	codeTimeout     galenastair.Code = "ClientTimeout"
	codeNoErrorCode galenastair.Code = "Uncoded"
	codeDropped     galenastair.Code = "Dropped"
)

// sample is the measurement of one request.
type sample struct {
	code        galenastair.Code
	outcome     galenastair.Outcome
	firstToken  time.Duration
	gaps        []time.Duration
	total       time.Duration
	text        strings.Builder
	lastTokenAt time.Time
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     galenastair.ModelName `json:"model"`
	Prompt    string                `json:"prompt,omitempty"`
	Messages  []chatMessage         `json:"messages,omitempty"`
	MaxTokens int                   `json:"max_tokens"`
	Stream    bool                  `json:"stream"`
}

func newRequest(ctx context.Context, target string, a arrival) (*http.Request, error) {
	if a.source.Route != nil {
		return newOpaqueRequest(ctx, target, a)
	}
	b := requestBody{Model: a.params.Model, MaxTokens: a.params.Tokens, Stream: a.source.Stream}
	path := "/v1/completions"
	if a.params.Chat {
		path = "/v1/chat/completions"
		b.Messages = []chatMessage{{"user", a.params.Prompt}}
	} else {
		b.Prompt = a.params.Prompt
	}
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if a.source.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.source.Key)
	}
	return req, nil
}

// send sends one request and returns its measurement. Latencies are measured from due,
// the scheduled time of the request.
func send(ctx context.Context, client *http.Client, target string, a arrival, due time.Time, expectedText func(RequestParams) string) *sample {
	s := &sample{code: codeNoAnswer, outcome: galenastair.OutcomeUnknown}
	defer func() { s.total = time.Since(due) }()
	req, err := newRequest(ctx, target, a)
	if err != nil {
		return s
	}
	resp, err := client.Do(req)
	if err != nil {
		s.markTimeout(ctx)
		return s
	}
	defer resp.Body.Close()
	switch {
	case a.source.Route != nil:
		s.readOpaqueResponse(ctx, resp, due)
	case resp.StatusCode != http.StatusOK:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		s.parseError(body)
	case a.source.Stream:
		s.readStream(ctx, resp.Body, due, expectedText != nil)
	default:
		s.readBody(ctx, resp.Body, due)
	}
	if s.code == codeComplete && expectedText != nil && s.text.String() != expectedText(a.params) {
		s.code = codeWrongAnswer
	}
	return s
}

func (s *sample) markTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		s.code = codeTimeout
	}
}

type errorResponse struct {
	Error *struct {
		Code    galenastair.Code    `json:"code"`
		Outcome galenastair.Outcome `json:"outcome"`
	} `json:"error"`
}

// parseError sets code and outcome from an error response.
func (s *sample) parseError(body []byte) {
	s.code = codeNoErrorCode
	var e errorResponse
	if json.Unmarshal(body, &e) != nil || e.Error == nil || e.Error.Code == "" {
		return
	}
	s.code = e.Error.Code
	s.outcome = e.Error.Outcome
}

var (
	dataPrefix   = []byte("data: ")
	doneMarker   = []byte("[DONE]")
	errorPrefix  = []byte(`{"error"`)
	emptyChoices = []byte(`"choices":[]`)
)

// readStream reads events up to the [DONE] marker. A body that ends without it is
// truncated.
func (s *sample) readStream(ctx context.Context, body io.Reader, due time.Time, keepText bool) {
	r := bufio.NewReaderSize(body, readBufferBytes)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			s.code = codeTruncated
			s.markTimeout(ctx)
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		switch {
		case !ok:
		case bytes.Equal(data, doneMarker):
			s.code, s.outcome = codeComplete, galenastair.OutcomeRan
			_, _ = io.Copy(io.Discard, r)
			return
		case bytes.HasPrefix(data, errorPrefix):
			s.parseError(data)
			return
		case !bytes.Contains(data, emptyChoices):
			s.recordToken(time.Now(), due)
			if keepText {
				s.appendText(data)
			}
		}
	}
}

func (s *sample) recordToken(now, due time.Time) {
	if s.lastTokenAt.IsZero() {
		s.firstToken = now.Sub(due)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

type completionResponse struct {
	Choices []struct {
		Text    string      `json:"text"`
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func (s *sample) appendText(data []byte) {
	var a completionResponse
	if json.Unmarshal(data, &a) != nil || len(a.Choices) == 0 {
		return
	}
	c := a.Choices[0]
	s.text.WriteString(c.Text + c.Delta.Content + c.Message.Content)
}

func (s *sample) readBody(ctx context.Context, body io.Reader, due time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		s.code = codeTruncated
		s.markTimeout(ctx)
		return
	}
	s.recordToken(time.Now(), due)
	s.appendText(data)
	s.code, s.outcome = codeComplete, galenastair.OutcomeRan
}
