package proof

import (
	"path/filepath"

	"galenastair/rate"
	"galenastair/standin/journal"
)

// readJournals adds the journals of the fleet's processes to a history: the runs that
// backend servers recorded and the tokens that entries granted.
func readJournals(f *Fleet, h *History) error {
	runs, err := filepath.Glob(filepath.Join(f.dir, "*.journal"))
	if err != nil {
		return err
	}
	for _, path := range runs {
		entries, _, err := journal.Read[journal.Entry](path)
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
		list, _, err := journal.Read[rate.Grant](path)
		if err != nil {
			return err
		}
		h.Grants = append(h.Grants, list...)
	}
	return nil
}
