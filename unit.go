package galenastair

// Tokens counts model tokens, of a prompt or an answer.
type Tokens int64

// TokensPerSecond is a contract's long-run rate.
type TokensPerSecond int64

// Bytes counts accelerator memory or payload size.
type Bytes int64

// Offset is the position of a record in one stream of the platform's log.
type Offset int64

// Epoch numbers the membership changes of a control domain; it only grows.
type Epoch int64

// Fence is the fencing number of a leader: the offset of the record that made it leader.
type Fence int64
