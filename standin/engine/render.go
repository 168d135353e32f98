package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"galenastair"
)

type usage struct {
	PromptTokens     galenastair.Tokens `json:"prompt_tokens"`
	CompletionTokens galenastair.Tokens `json:"completion_tokens"`
	TotalTokens      galenastair.Tokens `json:"total_tokens"`
}

// events returns how many events a whole answer has: the tokens, the usage and the end mark.
func (s *sequence) events() int { return s.limit + 2 }

// available returns how many events can be sent after so many tokens.
func (s *sequence) available(produced int) int {
	if produced >= s.limit {
		return s.events()
	}
	return produced
}

// render appends event n, counted from 1, to b.
func (s *sequence) render(b []byte, n int, id galenastair.RequestID) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\ndata: "...)
	switch {
	case n <= s.limit:
		b = s.renderToken(b, n-1, id)
	case n == s.limit+1:
		b = s.renderUsage(b, id)
	default:
		b = append(b, "[DONE]"...)
	}
	return append(b, "\n\n"...)
}

// renderHead renders the fields that all events of an answer share.
func renderHead(chat bool, id galenastair.RequestID, model galenastair.ModelName) []byte {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil, `{"id":%s,"object":%q,"created":0,"model":%s,"choices":[`, quote(string(id)), object, quote(string(model)))
}

func (s *sequence) renderToken(b []byte, i int, id galenastair.RequestID) []byte {
	b = append(b, s.headFor(id)...)
	finish := "null"
	if i == s.limit-1 {
		finish = `"length"`
	}
	text := Token(s.request.Model, s.digest, i)
	if s.chat {
		return fmt.Appendf(b, `{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, text, finish)
	}
	return fmt.Appendf(b, `{"index":0,"text":%q,"finish_reason":%s}]}`, text, finish)
}

func (s *sequence) renderUsage(b []byte, id galenastair.RequestID) []byte {
	b = append(b, s.headFor(id)...)
	u, _ := json.Marshal(usage{s.prompt, galenastair.Tokens(s.limit), s.tokens()})
	return fmt.Appendf(b, `],"usage":%s}`, u)
}

// headFor returns the head of the sequence's own events, or of another's that it is crossed with.
func (s *sequence) headFor(id galenastair.RequestID) []byte {
	if id == s.id {
		return s.head
	}
	return renderHead(s.chat, id, s.request.Model)
}

func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}
