package dispatch

const (
	// retryShare is the part of all requests that may be tried again. When every
	// backend server fails, the load grows by this part and not by a multiple.
	retryShare = 0.1
	// retryReserve lets an entry with little traffic try again at all.
	retryReserve = 10
)

// RetryBudget bounds repeated tries to a part of the traffic.
type RetryBudget struct {
	left    float64
	share   float64
	reserve float64
}

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{left: retryReserve, share: retryShare, reserve: retryReserve}
}

// SetBounds replaces the part of the traffic and the reserve; what is left is cut to it.
func (b *RetryBudget) SetBounds(share, reserve float64) {
	b.share, b.reserve = share, reserve
	b.left = min(b.left, reserve)
}

// Earn counts one first try.
func (b *RetryBudget) Earn() { b.left = min(b.reserve, b.left+b.share) }

// Spend takes one further try out of the budget; false if none is left.
func (b *RetryBudget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
