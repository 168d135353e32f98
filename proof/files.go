package proof

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"galenastair/rate"
	"galenastair/standin/journal"
)

// readFiles adds to a history what the processes of the fleet wrote down.
func readFiles(f *Fleet, h *History) error {
	runs, err := filepath.Glob(filepath.Join(f.dir, "*.journal"))
	if err != nil {
		return err
	}
	for _, path := range runs {
		entries, err := journal.Read(path)
		if err != nil {
			return err
		}
		h.Runs = append(h.Runs, entries...)
	}
	grants, err := filepath.Glob(filepath.Join(f.dir, "*.grants"))
	if err != nil {
		return err
	}
	for _, path := range grants {
		if err := readGrants(path, h); err != nil {
			return err
		}
	}
	return nil
}

func readGrants(path string, h *History) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "grants")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var g rate.Grant
		if json.Unmarshal(lines.Bytes(), &g) == nil {
			h.Grants = append(h.Grants, g)
		}
	}
	return lines.Err()
}
