package journal

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Entry is one line: a run, a request that carried a key, or an overcommitment of memory.
type Entry struct {
	At     time.Time
	Server string
	// Request is the request ID; empty for an overcommitment of memory.
	Request galenastair.RequestID `json:",omitempty"`
	// Call identifies a call to a plain service to its application.
	Call string `json:",omitempty"`
	// KeySeen is set if the request had an Authorization header. Callers' keys must never
	// reach a backend server.
	KeySeen bool `json:",omitempty"`
	// Overcommitted is the number of bytes above the memory limit.
	Overcommitted galenastair.Bytes `json:",omitempty"`
}

// Journal appends entries to a file. A nil Journal discards them.
type Journal struct {
	server string
	file   *os.File
}

// Open opens the journal of a server for appending. It returns nil if path is empty.
func Open(path, server string) (*Journal, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "journal")
	}
	return &Journal{server, file}, nil
}

// Write appends an entry. Each entry is one unbuffered write, so that a killed process
// leaves complete lines.
func (j *Journal) Write(e Entry) {
	if j == nil {
		return
	}
	e.At = time.Now()
	e.Server = j.server
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = j.file.Write(append(line, '\n'))
}

// Read decodes the JSON lines of a file. It skips invalid lines and returns their number:
// a process that is killed can leave a truncated last line.
func Read[T any](path string) (list []T, cut int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, eris.Wrap(err, "journal")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var v T
		if json.Unmarshal(lines.Bytes(), &v) != nil {
			cut++
			continue
		}
		list = append(list, v)
	}
	return list, cut, lines.Err()
}
