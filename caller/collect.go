package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// chunkBody is what a plain answer is made from.
type chunkBody struct {
	ID      string                `json:"id"`
	Created int64                 `json:"created"`
	Model   galenastair.ModelName `json:"model"`
	Choices []chunkChoice         `json:"choices"`
	Usage   json.RawMessage       `json:"usage"`
}

type chunkChoice struct {
	Text         string        `json:"text"`
	Delta        answerMessage `json:"delta"`
	FinishReason *string       `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// answerBody is the plain form of an answer.
type answerBody struct {
	ID      string                `json:"id"`
	Object  string                `json:"object"`
	Created int64                 `json:"created"`
	Model   galenastair.ModelName `json:"model"`
	Choices []answerChoice        `json:"choices"`
	Usage   json.RawMessage       `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// collector gathers a streamed answer for a caller that wants it in one piece.
// Nothing is sent before the end mark, so a cut answer becomes an error.
type collector struct {
	chat   bool
	answer answerBody
	text   strings.Builder
	finish *string
	ended  bool
}

// Chunk adds one event.
func (c *collector) Chunk(chunk galenastair.Chunk) error {
	if chunk.End {
		c.ended = true
		return nil
	}
	var b chunkBody
	if err := json.Unmarshal(chunk.Data, &b); err != nil {
		return eris.Wrap(err, "chunk of an answer")
	}
	c.answer.ID, c.answer.Created, c.answer.Model = b.ID, b.Created, b.Model
	if len(b.Usage) > 0 && string(b.Usage) != "null" {
		c.answer.Usage = b.Usage
	}
	for _, choice := range b.Choices {
		c.text.WriteString(choice.Text)
		c.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			c.finish = choice.FinishReason
		}
	}
	return nil
}

func (c *collector) write(w http.ResponseWriter) error {
	text := c.text.String()
	choice := answerChoice{FinishReason: c.finish}
	if c.chat {
		c.answer.Object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.answer.Object = "text_completion"
		choice.Text = &text
	}
	c.answer.Choices = []answerChoice{choice}
	body, err := json.Marshal(c.answer)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return err
}
