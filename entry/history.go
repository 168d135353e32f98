package entry

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"galenastair/rate"
)

// grantHistory appends each grant of tokens to a file, to verify the total granted by
// all instances. Each line is a single write, so that a killed process leaves no
// partial lines.
type grantHistory struct {
	mu   sync.Mutex
	file *os.File
}

// openGrantHistory opens the file at path. It returns nil if path is empty.
func openGrantHistory(path string) (*grantHistory, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open file of setting History")
	}
	return &grantHistory{file: file}, nil
}

func (h *grantHistory) record(g rate.Grant) {
	line, err := json.Marshal(g)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.file.Write(append(line, '\n'))
}
