package caller

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"galenastair"
)

// chunkBody is what the command line and tests read of an event.
type chunkBody struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Text  string        `json:"text"`
	Delta answerMessage `json:"delta"`
}

type answerMessage struct {
	Content string `json:"content"`
}

// answerBody is what they read of a plain answer.
type answerBody struct {
	Choices []answerChoice  `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type answerChoice struct {
	Text    *string        `json:"text"`
	Message *answerMessage `json:"message"`
}

// collectedChunk is an event of a streamed answer as the collector reads it.
type collectedChunk struct {
	ID                string                `json:"id"`
	Created           int64                 `json:"created"`
	Model             galenastair.ModelName `json:"model"`
	SystemFingerprint json.RawMessage       `json:"system_fingerprint"`
	Choices           []collectedChoice     `json:"choices"`
	Usage             json.RawMessage       `json:"usage"`
	Error             json.RawMessage       `json:"error"`
}

// collectedAnswer is the plain form that is made of them.
type collectedAnswer struct {
	ID                string                `json:"id"`
	Object            string                `json:"object"`
	Created           int64                 `json:"created"`
	Model             galenastair.ModelName `json:"model"`
	SystemFingerprint json.RawMessage       `json:"system_fingerprint,omitempty"`
	Choices           []collectedChoice     `json:"choices"`
	Usage             json.RawMessage       `json:"usage,omitempty"`
}

// errEngineEvent says that an engine ended its answer with an error of its own.
var errEngineEvent = eris.New("the engine ended the answer with an error event")

// collector gathers a streamed answer for a caller that wants it in one piece.
// Nothing is sent before the end mark, so a cut answer becomes an error.
type collector struct {
	chat   bool
	answer collectedAnswer
	choice collectedChoice
	ended  bool
}

// WriteChunk adds one event.
func (c *collector) WriteChunk(chunk galenastair.Chunk) error {
	if chunk.End {
		c.ended = true
		return nil
	}
	var b collectedChunk
	d := json.NewDecoder(bytes.NewReader(chunk.Data))
	// a number that float64 cannot hold must come out as it went in
	d.UseNumber()
	if err := d.Decode(&b); err != nil {
		return eris.Wrap(err, "chunk of an answer")
	}
	if present(b.Error) {
		return errEngineEvent
	}
	c.answer.ID, c.answer.Created, c.answer.Model = b.ID, b.Created, b.Model
	if present(b.SystemFingerprint) {
		c.answer.SystemFingerprint = b.SystemFingerprint
	}
	if present(b.Usage) {
		c.answer.Usage = b.Usage
	}
	for _, choice := range b.Choices {
		c.choice = merge(c.choice, choice)
	}
	return nil
}

func present(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

func (c *collector) write(w http.ResponseWriter) error {
	c.answer.Object = "text_completion"
	if c.chat {
		c.answer.Object = "chat.completion"
	}
	c.answer.Choices = []collectedChoice{c.choice.whole(c.chat)}
	body, err := json.Marshal(c.answer)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return err
}
