package capacity

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/standin/journal"
)

// Row is one measured fleet.
type Row struct {
	Entries       int
	Engines       int
	Organisations int
	ChangesPerDay float64
	// Cost is the mean over the entries, Worst the most that one had.
	Cost  Cost
	Worst Cost
	// Streams splits the mean bytes a second by whom they went to or came from.
	Peer     float64
	Platform float64
	Engine   float64
	Measured time.Duration
}

// Cost is what control costs one node.
type Cost struct {
	// BytesPerSecond is sent and received together.
	BytesPerSecond float64
	// Processor is the share of one core.
	Processor float64
	Memory    galenastair.Bytes
}

// Append adds a row to a file of JSON lines.
func Append(path string, r Row) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "rows")
	}
	defer file.Close()
	_, err = file.Write(append(line, '\n'))
	return err
}

// errCutRow says that a file of rows holds what is no row.
var errCutRow = eris.New("a line is no row")

// Read returns the rows of a file.
func Read(path string) ([]Row, error) {
	rows, cut, err := journal.Read[Row](path)
	if err != nil {
		return nil, eris.Wrap(err, "rows; measure some by 'make capacity'")
	}
	if cut > 0 {
		return nil, eris.Wrap(errCutRow, path)
	}
	return rows, nil
}
