package dispatch

const (
	// retryRatio is the share of all requests that may be retried. When every backend
	// server fails, retries add this share to the load instead of multiplying it.
	retryRatio = 0.1
	// retryReserve is the number of retries available to an instance with little traffic,
	// whose share alone would permit none.
	retryReserve = 10
)

// RetryBudget limits retries to a share of the traffic.
type RetryBudget struct {
	balance float64
	ratio   float64
	reserve float64
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{balance: retryReserve, ratio: retryRatio, reserve: retryReserve}
}

// SetBounds replaces the ratio and the reserve, and caps the balance at the reserve.
func (b *RetryBudget) SetBounds(ratio, reserve float64) {
	b.ratio, b.reserve = ratio, reserve
	b.balance = min(b.balance, reserve)
}

// Earn credits the budget for one first attempt.
func (b *RetryBudget) Earn() { b.balance = min(b.reserve, b.balance+b.ratio) }

// Spend takes one retry out of the budget, and returns false if it is used up.
func (b *RetryBudget) Spend() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
