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

// eventCount returns the number of events of a complete response: one for each token, the
// usage and the [DONE] marker.
func (s *sequence) eventCount() int { return s.maxTokens + 2 }

// availableEvents returns the number of events that can be sent once the given number of
// tokens has been generated.
func (s *sequence) availableEvents(produced int) int {
	if produced >= s.maxTokens {
		return s.eventCount()
	}
	return produced
}

// render appends event n, from 1, to b.
func (s *sequence) render(b []byte, n int, id galenastair.RequestID) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\ndata: "...)
	switch {
	case n <= s.maxTokens:
		b = s.renderToken(b, n-1, id)
	case n == s.maxTokens+1:
		b = s.renderUsage(b, id)
	default:
		b = append(b, "[DONE]"...)
	}
	return append(b, "\n\n"...)
}

// renderEventPrefix renders the fields that all events of a response share.
func renderEventPrefix(chat bool, id galenastair.RequestID, model galenastair.ModelName) []byte {
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
	}
	return fmt.Appendf(nil, `{"id":%s,"object":%q,"created":0,"model":%s,"choices":[`, quote(string(id)), object, quote(string(model)))
}

func (s *sequence) renderToken(b []byte, i int, id galenastair.RequestID) []byte {
	b = append(b, s.eventPrefixFor(id)...)
	finish := "null"
	if i == s.maxTokens-1 {
		finish = `"length"`
	}
	text := Token(s.request.Model, s.digest, i)
	if s.chat {
		return fmt.Appendf(b, `{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, text, finish)
	}
	return fmt.Appendf(b, `{"index":0,"text":%q,"finish_reason":%s}]}`, text, finish)
}

func (s *sequence) renderUsage(b []byte, id galenastair.RequestID) []byte {
	b = append(b, s.eventPrefixFor(id)...)
	u, _ := json.Marshal(usage{s.promptTokens, galenastair.Tokens(s.maxTokens), s.totalTokens()})
	return fmt.Appendf(b, `],"usage":%s}`, u)
}

// eventPrefixFor returns the event prefix for a request ID. The ID differs from the
// sequence's own only if Faults.Crossed is set.
func (s *sequence) eventPrefixFor(id galenastair.RequestID) []byte {
	if id == s.id {
		return s.eventPrefix
	}
	return renderEventPrefix(s.chat, id, s.request.Model)
}

func quote(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}
