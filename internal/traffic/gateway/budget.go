package gateway

// This file defines retryBudget, which limits retries and hedges.

import "sync"

const (
	// retryRatio is the number of extra attempts that each finished call earns.
	retryRatio = 0.1
	// maxRetryTokens limits the unused extra attempts that accumulate.
	maxRetryTokens = 50
)

// retryBudget is a token bucket that limits extra attempts to a fraction of the finished
// calls, so that retries cannot multiply the load when everything fails.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
	b.mu.Unlock()
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
