package journal

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Entry is one line: a run, or memory that was overcommitted.
type Entry struct {
	At     time.Time
	Server string
	// Request is empty for an entry that tells of overcommitted memory.
	Request galenastair.RequestID `json:",omitempty"`
	// Call names what a call to a plain service means to its application.
	Call string `json:",omitempty"`
	// KeySeen says that the request showed a key, which no backend server may see.
	KeySeen bool `json:",omitempty"`
	// Overcommitted is by how much memory was exceeded.
	Overcommitted galenastair.Bytes `json:",omitempty"`
}

// Journal appends to one file; a nil journal writes nothing.
type Journal struct {
	server string
	file   *os.File
}

// Open returns the journal of a server; an empty path gives none.
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

// Write appends one entry; each is a write of its own, so that a killed process
// leaves whole lines.
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

// Read returns the lines of a file, each a JSON object, and how many were cut and
// left out: a process that is killed can leave a part of its last one.
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
