package targets

// This file defines how Links keeps requests and probes from targets whose failure domain is
// evacuated. Their links are dropped as soon as the view has the evacuation; what is on its way to
// such a target by then is checked again directly before it is sent.

import (
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
)

// setEvacuated records the targets whose failure domain is evacuated. The caller holds the mutex.
func (l *Links) setEvacuated(s *directory.Snapshot) {
	l.evacuated = nil
	if s.Evacuated == nil {
		return
	}
	l.evacuated = map[string]bool{}
	for _, list := range s.Withheld {
		for _, t := range list {
			if t.Reason == eligibility.Evacuated {
				l.evacuated[t.ID] = true
			}
		}
	}
}

// MaySend returns ErrEvacuated if the failure domain of a target is evacuated, so that nothing may be
// sent to the target.
func (l *Links) MaySend(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.evacuated[target] {
		return errors.Wrap(ErrEvacuated, target)
	}
	return nil
}
