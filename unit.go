package galenastair

// Tokens is a number of model tokens, in a prompt or a response.
type Tokens int64

// TokensPerSecond is the long-term average rate of a contract.
type TokensPerSecond int64

// Bytes is a size of accelerator memory or of a payload.
type Bytes int64

// Offset is the position of a record in one stream of the platform's log, or in one topic of its metadata
// store. Those of the store contain the timeline, so that a later record has a higher offset also after the
// store was restored from a copy.
type Offset int64

// Timeline numbers the histories of the metadata store, from 0. A store that is restored from a copy begins
// another one, in which it gives out the positions after the end of the copy again.
type Timeline int64

// positionBits is the number of bits of an offset that hold the position within a timeline.
const positionBits = 40

// Offset returns the offset of a position in the timeline.
func (t Timeline) Offset(position int64) Offset { return Offset(int64(t)<<positionBits + position) }

// Timeline returns the timeline of an offset.
func (o Offset) Timeline() Timeline { return Timeline(o >> positionBits) }

// Position returns the position of an offset within its timeline.
func (o Offset) Position() int64 { return int64(o) & (1<<positionBits - 1) }

// Epoch numbers the membership changes of a control domain and only increases.
type Epoch int64

// Fence is the fencing token of a leader. It is derived from the offset of the record that made
// the instance leader, so a later leader has a higher token.
type Fence int64

// Timeline returns the timeline in which the token was given out.
func (f Fence) Timeline() Timeline { return Offset(f).Timeline() }
