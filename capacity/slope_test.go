package capacity

import (
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestSlopesComeFromRowsThatDifferInOneThing(t *testing.T) {
	is := is.New(t)
	row := func(entries, engines int, bytes float64) Row {
		return Row{Entries: entries, Engines: engines, Organisations: 10, Cost: Cost{BytesPerSecond: bytes, Memory: 20 << 20}}
	}
	rows := []Row{row(6, 6, 160), row(3, 6, 130), row(9, 6, 190), row(6, 12, 190), row(9, 12, 9999)}
	slopes := Slopes(rows)
	is.True(math.Abs(slopes[0].Cost.BytesPerSecond-10) < 1e-9) // 10 bytes/s for each entry
	is.True(math.Abs(slopes[1].Cost.BytesPerSecond-5) < 1e-9)  // 5 bytes/s for each engine
	is.Equal(slopes[0].Rows, 3)                                // the row that differs in two things is left out
	c := Reckon(rows[0], slopes, Size{Entries: 16, Engines: 26, Organisations: 10})
	is.True(math.Abs(c.BytesPerSecond-360) < 1e-9)
}

func TestOwnProcessCanBeRead(t *testing.T) {
	is := is.New(t)
	_, err := processorTime(os.Getpid())
	is.NoErr(err)
	m, err := memory(os.Getpid())
	is.NoErr(err)
	is.True(m > 1<<20)
}
