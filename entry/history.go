package entry

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"galenastair/rate"
)

// history appends each grant of tokens to a file, for checks of what all
// instances granted together. Each line is a write of its own, so that a killed
// process leaves whole lines.
type history struct {
	mu   sync.Mutex
	file *os.File
}

// openHistory returns nil for an empty path.
func openHistory(path string) (*history, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "History")
	}
	return &history{file: file}, nil
}

func (h *history) grant(g rate.Grant) {
	line, err := json.Marshal(g)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.file.Write(append(line, '\n'))
}
