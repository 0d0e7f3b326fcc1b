package gateway

// This file defines retryBudget, which bounds further tries.

import "sync"

const (
	// retryShare is the number of further tries that each finished call earns.
	retryShare = 0.1
	// maxRetryBudget is the largest number of tries that may be saved up.
	maxRetryBudget = 50
)

// retryBudget lets further tries be a share of finished calls, so that retries
// cannot multiply the load when everything fails.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryBudget} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	b.tokens = min(maxRetryBudget, b.tokens+retryShare)
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
