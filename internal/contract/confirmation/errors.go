package confirmation

// This file defines the errors that are returned to operators.

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/plan"
)

// Sentinel errors.
var (
	// ErrUnknownPlan reports that no plan has the given ID.
	ErrUnknownPlan = errors.New("confirmation: no such plan")
	// ErrForbidden reports that the operator's partner has no access to the plan or intent.
	ErrForbidden = errors.New("confirmation: the plan belongs to another partner")
	// ErrTooManyPlans reports that the partner has MaxOpenPlans open plans.
	ErrTooManyPlans = errors.New("confirmation: too many open plans")
)

// UnavailableError reports that the store is unavailable and that the configuration was
// not changed. The call may be retried after RetryAfter.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("confirmation: the configuration store is unavailable, nothing was changed, try again in %s: %v", e.RetryAfter, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the outcome of a confirmation is unknown: the plan may
// be active already or become active later. Confirming it again resolves the outcome.
type OutcomeUnknownError struct {
	PlanID string
	Cause  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("confirmation: it is not known whether plan %s is in force; confirm it again to learn it: %v", e.PlanID, e.Cause)
}

// Unwrap returns Cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StaleError reports that the configuration changed after the plan was computed.
type StaleError struct {
	// Base is the revision that the plan was computed from, Current the active one.
	Base    uint64
	Current uint64
	// NewPlan is a new plan of the same intent, computed from the active configuration.
	// It is nil if it could not be computed or stored; Cause is the reason.
	NewPlan *plan.Plan
	Cause   error
}

// Error implements error.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("confirmation: the plan was made for revision %d, revision %d is in force", e.Base, e.Current)
	if e.NewPlan != nil {
		return text + "; the fresh plan is " + e.NewPlan.ID
	}
	return fmt.Sprintf("%s; the intent no longer applies: %v", text, e.Cause)
}

// NotShownError reports that some affected partners have not been shown the plan.
type NotShownError struct{ Partners []catalog.Partner }

// Error implements error.
func (e *NotShownError) Error() string {
	names := make([]string, len(e.Partners))
	for i, p := range e.Partners {
		names[i] = string(p)
	}
	return "confirmation: the plan must first be shown to " + strings.Join(names, ", ")
}
