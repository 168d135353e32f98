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

// Read returns the entries of a file; a line that was cut is left out.
func Read(path string) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "journal")
	}
	defer file.Close()
	var entries []Entry
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var e Entry
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			entries = append(entries, e)
		}
	}
	return entries, lines.Err()
}
