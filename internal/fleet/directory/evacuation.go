package directory

// This file defines how a State applies the evacuation of failure domains.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// fieldDomain is the log field of a failure domain.
const fieldDomain = "domain"

// applyEvacuation applies the key that exists while a failure domain is evacuated.
func (s *State) applyEvacuation(now time.Time, domain string, item store.Item) {
	if !s.roster.SetEvacuated(now, domain, !item.Deleted) {
		return
	}
	s.changes++
	s.targetsChanged = true
	delete(s.unknownEvacuated, domain)
	text := "evacuation of a failure domain has begun"
	if item.Deleted {
		text = "evacuation of a failure domain has ended"
	} else if !s.knowsDomain(domain) {
		// The first read may hold the domain's targets after this key, so that the domain is
		// checked again before the next log lines.
		if s.unknownEvacuated == nil {
			s.unknownEvacuated = map[string]bool{}
		}
		s.unknownEvacuated[domain] = true
	}
	s.log(text, map[string]any{fieldDomain: domain, fieldTargets: s.roster.CountIn(domain), fieldRevision: item.Revision.String()})
}

// logUnknownEvacuated logs the evacuated failure domains that no host and no target is in, once for
// each evacuation.
func (s *State) logUnknownEvacuated() {
	for domain := range s.unknownEvacuated {
		if !s.knowsDomain(domain) {
			s.warn("evacuated failure domain is not known", map[string]any{fieldDomain: domain})
		}
	}
	s.unknownEvacuated = nil
}

// knowsDomain reports whether a host or a target is in a failure domain.
func (s *State) knowsDomain(domain string) bool {
	if s.roster.CountIn(domain) > 0 {
		return true
	}
	for _, h := range s.hosts {
		if h.Domain == domain {
			return true
		}
	}
	return false
}
