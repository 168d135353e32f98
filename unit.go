package galenastair

// Tokens is a number of model tokens, in a prompt or a response.
type Tokens int64

// TokensPerSecond is the long-term average rate of a contract.
type TokensPerSecond int64

// Bytes is a size of accelerator memory or of a payload.
type Bytes int64

// Offset is the position of a record in one stream of the platform's log.
type Offset int64

// Epoch numbers the membership changes of a control domain and only increases.
type Epoch int64

// Fence is the fencing token of a leader. It is derived from the offset of the record that made
// the instance leader, so a later leader has a higher token.
type Fence int64
