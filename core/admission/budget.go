package admission

// Budget limits extra starts to a share of the recent successes, so that retries cannot amplify a failure. It implements
// job.Budget.
type Budget struct {
	// share is added to the tokens by each success; burst is the maximum number of tokens.
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Succeeded counts successes.
func (b *Budget) Succeeded(count int) {
	b.tokens = min(b.burst, b.tokens+b.share*float64(count))
}

// Take takes one extra start and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
