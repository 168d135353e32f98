package engine

import (
	"net/http"
	"strings"
	"time"

	"galenastair"
	wire "galenastair/engine"
)

// stream writes the events after a sequence number until the answer's end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, after int) {
	defer func() { s.detach(time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.HeaderRequestID, string(s.id))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	ping := time.NewTicker(e.settings.Ping)
	defer ping.Stop()
	silenced := s.progress().silenced
	var buf []byte
	for sent := after; sent < s.events(); {
		p := s.progress()
		if p.silenced != silenced {
			<-r.Context().Done()
			return
		}
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		buf = buf[:0]
		for until := s.available(p.produced); sent < until; {
			sent++
			buf = e.event(buf, s, sent)
		}
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			_ = flush()
			continue
		}
		select {
		case <-p.grown:
		case <-ping.C:
			e.ping(w)
		case <-r.Context().Done():
			return
		}
	}
}

// event renders one event, or what the switches make of it.
func (e *Engine) event(buf []byte, s *sequence, n int) []byte {
	sw, _ := e.board()
	if sw.CutAfter > 0 && n > sw.CutAfter {
		panic(http.ErrAbortHandler)
	}
	id := s.id
	if sw.Crossed {
		id = galenastair.RequestID("crossed-" + string(id))
	}
	return s.render(buf, n, id)
}

// ping shows that the connection lives while the request waits; a frozen engine shows nothing.
func (e *Engine) ping(w http.ResponseWriter) {
	if sw, _ := e.board(); sw.Frozen {
		return
	}
	if _, err := w.Write([]byte(": ping\n\n")); err == nil {
		_ = http.NewResponseController(w).Flush()
	}
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeAnswer struct {
	ID      galenastair.RequestID `json:"id"`
	Model   galenastair.ModelName `json:"model"`
	Choices []wholeChoice         `json:"choices"`
	Usage   usage                 `json:"usage"`
}

// answerWhole waits for the end and answers in one body.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, s *sequence) {
	defer func() { s.detach(time.Now()) }()
	for {
		p := s.progress()
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		if p.produced >= s.limit {
			break
		}
		select {
		case <-p.grown:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(wire.HeaderRequestID, string(s.id))
	choice := wholeChoice{FinishReason: "length", Text: Answer(s.request)}
	if s.chat {
		choice.Message = &wholeMessage{"assistant", choice.Text}
		choice.Text = ""
	}
	writeJSON(w, wholeAnswer{
		ID:      s.id,
		Model:   s.request.Model,
		Choices: []wholeChoice{choice},
		Usage:   usage{s.prompt, galenastair.Tokens(s.limit), s.tokens()},
	})
}

// Answer returns the whole text that an engine answers to a request.
func Answer(r Request) string {
	limit := r.MaxTokens
	if limit == 0 {
		limit = defaultLimit
	}
	digest := Digest(r.Prompt)
	var text strings.Builder
	for i := range limit {
		text.WriteString(Token(r.Model, digest, i))
	}
	return text.String()
}

// Expected returns the whole answer that an engine gives to a text asked by one user message or prompt.
func Expected(model galenastair.ModelName, text string, chat bool, tokens int) string {
	if chat {
		text = chatPrompt([]message{{"user", text}})
	}
	return Answer(Request{Model: model, Prompt: text, MaxTokens: tokens})
}
