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
	// readBuffer holds dozens of token events.
	readBuffer = 8 << 10
	// maxAnswer bounds the memory of one plain answer.
	maxAnswer = 4 << 20
)

// The codes that a load gives to what carries no code of its own.
const (
	codeWhole     galenastair.Code = "Whole"
	codeWrong     galenastair.Code = "WrongAnswer"
	codeCut       galenastair.Code = "CutUntold"
	codeNoAnswer  galenastair.Code = "NoAnswer"
	codeTimeout   galenastair.Code = "ClientTimeout"
	codeUncoded   galenastair.Code = "Uncoded"
	codeUnsettled galenastair.Code = "Dropped"
)

// sample is what one request showed.
type sample struct {
	code    galenastair.Code
	outcome galenastair.Outcome
	first   time.Duration
	gaps    []time.Duration
	total   time.Duration
	text    strings.Builder
	last    time.Time
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
		return newOpaque(ctx, target, a)
	}
	b := requestBody{Model: a.question.Model, MaxTokens: a.question.Tokens, Stream: a.source.Stream}
	path := "/v1/completions"
	if a.question.Chat {
		path = "/v1/chat/completions"
		b.Messages = []chatMessage{{"user", a.question.Prompt}}
	} else {
		b.Prompt = a.question.Prompt
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

// send makes one request and returns what it showed; due is when it should have been sent.
func send(ctx context.Context, client *http.Client, target string, a arrival, due time.Time, want func(Question) string) *sample {
	s := &sample{code: codeNoAnswer, outcome: galenastair.Unknown}
	defer func() { s.total = time.Since(due) }()
	req, err := newRequest(ctx, target, a)
	if err != nil {
		return s
	}
	resp, err := client.Do(req)
	if err != nil {
		s.lost(ctx)
		return s
	}
	defer resp.Body.Close()
	switch {
	case a.source.Route != nil:
		s.readOpaque(ctx, resp, due)
	case resp.StatusCode != http.StatusOK:
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		s.refused(body)
	case a.source.Stream:
		s.readStream(ctx, resp.Body, due, want != nil)
	default:
		s.readWhole(ctx, resp.Body, due)
	}
	if s.code == codeWhole && want != nil && s.text.String() != want(a.question) {
		s.code = codeWrong
	}
	return s
}

func (s *sample) lost(ctx context.Context) {
	if ctx.Err() != nil {
		s.code = codeTimeout
	}
}

type errorBody struct {
	Error *struct {
		Code    galenastair.Code    `json:"code"`
		Outcome galenastair.Outcome `json:"outcome"`
	} `json:"error"`
}

// refused takes the code from an error object.
func (s *sample) refused(body []byte) {
	s.code = codeUncoded
	var e errorBody
	if json.Unmarshal(body, &e) != nil || e.Error == nil || e.Error.Code == "" {
		return
	}
	s.code = e.Error.Code
	s.outcome = e.Error.Outcome
}

var (
	dataField  = []byte("data: ")
	endMark    = []byte("[DONE]")
	errorField = []byte(`{"error"`)
	noChoice   = []byte(`"choices":[]`)
)

// readStream reads events up to the end mark; a body that ends without it was cut.
func (s *sample) readStream(ctx context.Context, body io.Reader, due time.Time, keepText bool) {
	r := bufio.NewReaderSize(body, readBuffer)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			s.code = codeCut
			s.lost(ctx)
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField)
		switch {
		case !ok:
		case bytes.Equal(data, endMark):
			s.code, s.outcome = codeWhole, galenastair.Ran
			_, _ = io.Copy(io.Discard, r)
			return
		case bytes.HasPrefix(data, errorField):
			s.refused(data)
			return
		case !bytes.Contains(data, noChoice):
			s.token(time.Now(), due)
			if keepText {
				s.keep(data)
			}
		}
	}
}

func (s *sample) token(now, due time.Time) {
	if s.last.IsZero() {
		s.first = now.Sub(due)
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
}

type answerBody struct {
	Choices []struct {
		Text    string      `json:"text"`
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func (s *sample) keep(data []byte) {
	var a answerBody
	if json.Unmarshal(data, &a) != nil || len(a.Choices) == 0 {
		return
	}
	c := a.Choices[0]
	s.text.WriteString(c.Text + c.Delta.Content + c.Message.Content)
}

func (s *sample) readWhole(ctx context.Context, body io.Reader, due time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		s.code = codeCut
		s.lost(ctx)
		return
	}
	s.token(time.Now(), due)
	s.keep(data)
	s.code, s.outcome = codeWhole, galenastair.Ran
}
