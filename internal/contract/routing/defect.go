package routing

// This file defines what becomes of the parts of a configuration that cannot be applied. The other parts are
// in force nevertheless: they may remove a key or move a route. What depends on such a part is refused.

import "fmt"

// Part is a kind of part of a configuration.
type Part string

// Parts of a configuration.
const (
	PartRoute   Part = "route"
	PartService Part = "service"
	PartAccount Part = "account"
	PartLimits  Part = "limits"
	// PartUnknown is a part whose kind cannot be read.
	PartUnknown Part = "unknown"
)

// Defect is a part of a configuration that cannot be applied, or not as it is written. It never contains a
// key.
type Defect struct {
	Part Part
	// Name is the name of the part; empty if it has none.
	Name   string
	Reason string
}

// AddDefect records a defect.
func (c *Config) AddDefect(part Part, name, reason string) {
	c.Defects = append(c.Defects, Defect{Part: part, Name: name, Reason: reason})
}

// Check marks the parts of the configuration that cannot be used, and records them as defects. It is called
// once, before the configuration is used.
func (c *Config) Check() {
	c.checkAccounts()
	for i := range c.Routes {
		c.checkRoute(&c.Routes[i])
	}
}

// checkRoute marks a route without services. A service that the configuration lacks is one that cannot be
// used.
func (c *Config) checkRoute(r *Route) {
	if len(r.Shares) == 0 && !r.Unusable {
		r.Unusable = true
		c.AddDefect(PartRoute, r.Name, "it has no service")
	}
	for _, s := range r.Shares {
		if _, ok := c.Services[s.Service]; !ok {
			c.Services[s.Service] = Service{Name: s.Service, Unusable: true}
			c.AddDefect(PartRoute, r.Name, fmt.Sprintf("service %q is not part of the configuration", s.Service))
		}
	}
}
