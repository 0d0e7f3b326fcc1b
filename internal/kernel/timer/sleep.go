package timer

// This file defines Sleep.

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
