package speed

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"strconv"

	"galenastair"
)

// Key is a short hash of a process of a backend server, for messages. A restarted server has another
// key, so that what was observed of the process before does not apply to it. With some thousand
// servers, two share a key with a probability of a thousandth, and share a factor then.
type Key uint32

// KeyOf returns the key of a process.
func KeyOf(id galenastair.BackendServerID, incarnation int64) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(incarnation)))
	return Key(h.Sum32())
}

// Ratio is the ratio of an actual to an expected time: 2 is half as fast.
type Ratio float64

// String returns the ratio with two decimals, for logs.
func (r Ratio) String() string { return strconv.FormatFloat(float64(r), 'f', 2, 64) }

// maxRatio bounds a ratio, and its inverse the other way. A server that is slower than that is
// unresponsive rather than slow, and other mechanisms avoid it.
const maxRatio = 4

// log returns the bounded natural logarithm.
func (r Ratio) log() float64 {
	return math.Log(min(maxRatio, max(1.0/maxRatio, float64(r))))
}

// stepsPerOctave is the resolution of ratios in messages. A step is 2 %.
const stepsPerOctave = 32

// Steps returns a ratio in the unit of messages, a 32nd of an octave. It fits into one or two bytes.
func (r Ratio) Steps() int32 {
	return int32(math.Round(r.log() / math.Ln2 * stepsPerOctave))
}

// FromSteps returns the ratio that Steps encoded. Values that Steps does not return are bounded.
func FromSteps(steps int32) Ratio {
	r := Ratio(math.Exp2(float64(steps) / stepsPerOctave))
	return min(maxRatio, max(1.0/maxRatio, r))
}

// Observation is the result of one request that did not wait for others.
type Observation struct {
	Server Key
	// Ratio is its actual time over the time expected at a factor of 1.
	Ratio Ratio
}

// MaxObservations bounds the observations in one report. An instance of 0.8 cores makes some ten
// between two reports.
const MaxObservations = 64

// Factor is the speed factor of one process.
type Factor struct {
	Server Key
	Ratio  Ratio
}

// Sequence numbers the changes of factors that a leader has announced.
type Sequence int64

// Update holds the factors that have changed since an earlier sequence number.
type Update struct {
	Factors []Factor
	// Newest is the number to ask with next time; 0 if the leader announces no factors.
	Newest Sequence
}
