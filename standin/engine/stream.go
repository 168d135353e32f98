package engine

import (
	"net/http"
	"strings"
	"time"

	"galenastair"
	wire "galenastair/engine"
)

// stream writes the events after the given event number, to the end of the response.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, after int) {
	defer func() { s.detach(time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.HeaderRequestID, string(s.id))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	ping := time.NewTicker(e.settings.PingInterval)
	defer ping.Stop()
	silenced := s.progress().silenceCount
	var buf []byte
	for sent := after; sent < s.eventCount(); {
		p := s.progress()
		if p.silenceCount != silenced {
			<-r.Context().Done()
			return
		}
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		buf = buf[:0]
		for until := s.availableEvents(p.generated); sent < until; {
			sent++
			buf = e.appendEvent(buf, s, sent)
		}
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			_ = flush()
			continue
		}
		select {
		case <-p.updated:
		case <-ping.C:
			e.ping(w)
		case <-r.Context().Done():
			return
		}
	}
}

// appendEvent renders one event with the injected faults applied.
func (e *Engine) appendEvent(buf []byte, s *sequence, n int) []byte {
	faults, _ := e.currentFaults()
	if faults.CutAfter > 0 && n > faults.CutAfter {
		panic(http.ErrAbortHandler)
	}
	id := s.id
	if faults.Crossed {
		id = galenastair.RequestID("crossed-" + string(id))
	}
	return s.render(buf, n, id)
}

// ping writes a keep-alive comment. A frozen engine writes none.
func (e *Engine) ping(w http.ResponseWriter) {
	if faults, _ := e.currentFaults(); faults.Frozen {
		return
	}
	if _, err := w.Write([]byte(": ping\n\n")); err == nil {
		_ = http.NewResponseController(w).Flush()
	}
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionResponse struct {
	ID      galenastair.RequestID `json:"id"`
	Model   galenastair.ModelName `json:"model"`
	Choices []completionChoice    `json:"choices"`
	Usage   usage                 `json:"usage"`
}

// writeCompletion waits until the sequence has ended and writes the response as one body.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *sequence) {
	defer func() { s.detach(time.Now()) }()
	for {
		p := s.progress()
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		if p.generated >= s.maxTokens {
			break
		}
		select {
		case <-p.updated:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(wire.HeaderRequestID, string(s.id))
	choice := completionChoice{FinishReason: "length", Text: CompletionText(s.request)}
	if s.chat {
		choice.Message = &completionMessage{"assistant", choice.Text}
		choice.Text = ""
	}
	writeJSON(w, completionResponse{
		ID:      s.id,
		Model:   s.request.Model,
		Choices: []completionChoice{choice},
		Usage:   usage{s.promptTokens, galenastair.Tokens(s.maxTokens), s.totalTokens()},
	})
}

// CompletionText returns the complete text that an engine generates for a request.
func CompletionText(r Request) string {
	limit := r.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	digest := PromptDigest(r.Prompt)
	var text strings.Builder
	for i := range limit {
		text.WriteString(Token(r.Model, digest, i))
	}
	return text.String()
}

// ExpectedText returns the complete text that an engine generates for a prompt, or for a
// chat with the text as its only user message.
func ExpectedText(model galenastair.ModelName, text string, chat bool, tokens int) string {
	if chat {
		text = chatPrompt([]message{{"user", text}})
	}
	return CompletionText(Request{Model: model, Prompt: text, MaxTokens: tokens})
}
