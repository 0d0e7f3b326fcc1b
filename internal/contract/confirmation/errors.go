package confirmation

// This file defines the refusals that operators are told.

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
)

// Refusals without further content.
var (
	// ErrUnknownPlan reports that no plan has the given id.
	ErrUnknownPlan = errors.New("confirmation: no such plan")
	// ErrNotYours reports that the plan belongs to another partner.
	ErrNotYours = errors.New("confirmation: the plan belongs to another partner")
	// ErrTooManyPlans reports that the partner has too many plans open.
	ErrTooManyPlans = errors.New("confirmation: too many open plans")
)

// UnavailableError reports that the platform's store did not serve the call.
// Nothing was changed.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("confirmation: the configuration store is unavailable, nothing was changed, try again in %s: %v", e.RetryAfter, e.Cause)
}

// Unwrap returns the error of the store.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UndecidedError reports that a confirmation may still come in force. Asking
// for the status of the plan later tells.
type UndecidedError struct {
	PlanID string
	Cause  error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("confirmation: it is not known whether plan %s is in force; confirm it again to learn it: %v", e.PlanID, e.Cause)
}

// Unwrap returns the error of the store.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// StaleError reports that the configuration changed since the plan was made.
type StaleError struct {
	Base    uint64
	Current uint64
	// Fresh is the plan of the same intent against the current configuration.
	// It is nil when the intent no longer applies; Cause says why.
	Fresh *plan.Plan
	Cause error
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("confirmation: the plan was made for revision %d, revision %d is in force", e.Base, e.Current)
	if e.Fresh != nil {
		return text + "; the fresh plan is " + e.Fresh.ID
	}
	return fmt.Sprintf("%s; the intent no longer applies: %v", text, e.Cause)
}

// NotShownError reports that affected partners were not shown the plan.
type NotShownError struct{ Partners []catalog.Partner }

// Error implements error.
func (e *NotShownError) Error() string {
	names := make([]string, len(e.Partners))
	for i, p := range e.Partners {
		names[i] = string(p)
	}
	return "confirmation: the plan must first be shown to " + strings.Join(names, ", ")
}
