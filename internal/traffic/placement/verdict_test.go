package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// Guards against a cause that is not passed on to the decision, and against one that is counted although
// the target gets requests as usual.
func TestVerdictsNameTheCauses(t *testing.T) {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	c.SetColdRates(map[string]ColdRate{"s": {PerSecond: 3.6, Time: time.Second}})
	c.SetWithheld(map[string]eligibility.Reason{"evacuated": eligibility.Evacuated, "draining": eligibility.Draining})
	ids := []string{"lapsed", "normal", "leaving", "paused", "limited", "cold", "unknown"}
	specs := make([]Spec, 0, len(ids))
	for _, id := range ids {
		specs = append(specs, Spec{ID: id, Service: "s", Lapsed: id == "lapsed"})
	}
	c.SetTargets(map[string][]Spec{"s": specs})
	c.RecordLeaving(at(0), notice.NewIncarnation("leaving", time.Time{}))
	c.RecordPause(at(0), notice.NewIncarnation("paused", time.Time{}), time.Minute)
	c.Limits().Observe(at(0), "limited", ratelimit.Observation{Report: ratelimit.Report{Kind: ratelimit.Named, PerSecond: 1}, SentAt: at(0), Source: ratelimit.Probe})
	c.ObserveCold(at(0), "cold", ratelimit.Cold{Known: true, Left: time.Minute}, at(0))
	c.RecordUnreachable(at(0), "unknown")
	require.Equal(t, map[eligibility.Reason]int{
		eligibility.Evacuated: 1, eligibility.Draining: 1, eligibility.Lapsed: 1, eligibility.Leaving: 1, eligibility.Paused: 1,
		eligibility.RateLimit: 1, eligibility.Cold: 1, eligibility.ColdUnknown: 1,
	}, c.Verdicts(at(10)))

	require.Equal(t, eligibility.Evacuated, c.BarredBy(at(10), "evacuated", false))
	require.Equal(t, eligibility.Leaving, c.BarredBy(at(10), "leaving", true))
	require.Equal(t, eligibility.Paused, c.BarredBy(at(10), "paused", false))
	require.Equal(t, eligibility.Normal, c.BarredBy(at(10), "paused", true))
	require.Equal(t, eligibility.Normal, c.BarredBy(at(10), "draining", false), "a dispatcher may not know yet that the target drains; the target rejects")
	require.Equal(t, eligibility.Normal, c.BarredBy(at(10), "normal", false))
}

// Guards against a limit that is forgotten during an evacuation: it holds after that, too.
func TestLimitsOfEvacuatedTargetsAreKept(t *testing.T) {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	groups := map[string][]Spec{"s": {{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}}
	c.SetTargets(groups)
	for _, id := range []string{"a", "b"} {
		c.Limits().Observe(at(0), id, ratelimit.Observation{Report: ratelimit.Report{Kind: ratelimit.Named, PerSecond: 1}, SentAt: at(0), Source: ratelimit.Probe})
	}
	c.SetWithheld(map[string]eligibility.Reason{"a": eligibility.Evacuated, "b": eligibility.Draining})
	c.SetTargets(map[string][]Spec{})
	require.Equal(t, map[string]float64{"a": 1}, c.Limits().Named())
}

// Guards against targets that stay unused because a host asks nobody whether they are cold.
func TestTargetsThatMayBeColdAreProbed(t *testing.T) {
	c := NewChooser(DefaultConfig(), rand.New(rand.NewPCG(1, 2)))
	c.SetColdRates(map[string]ColdRate{"s": {PerSecond: 3.6, Time: time.Minute}})
	c.SetTargets(map[string][]Spec{"s": {{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 2}}})
	c.ObserveCold(at(0), "a", ratelimit.Cold{Known: true}, at(0))
	c.ObserveCold(at(0), "b", ratelimit.Cold{Known: true}, at(0))
	require.Empty(t, c.ColdCandidates(at(500), "s", 9, true))
	require.Len(t, c.ColdCandidates(at(700), "s", 9, true), 2, "the view is old")
	require.Empty(t, c.ColdCandidates(at(700), "s", 9, false))
	c.RecordUnreachable(at(200), "a")
	require.Empty(t, c.ColdCandidates(at(700), "s", 9, false), "it has just responded")
	c.RecordUnreachable(at(700), "a")
	require.Equal(t, []string{"a"}, c.ColdCandidates(at(700), "s", 9, false))
	require.Equal(t, []string{"a"}, c.ProbeCandidates(at(700), "s", Request{Avoid: []string{"b"}}, 3), "it has no token, but may be asked")
	best, ok := c.Best(at(700), "s", Request{TypicalTime: 50 * time.Millisecond})
	require.True(t, ok)
	require.Equal(t, "b", best.ID)
	c.ExpireColdEvidence(at(1900), "s")
	require.False(t, c.Limits().ColdUnknown(at(1900), "b"))
	c.ExpireColdEvidence(at(2100), "s")
	require.True(t, c.Limits().ColdUnknown(at(2100), "b"))
	c.ObserveCold(at(2200), "b", ratelimit.Cold{Known: true}, at(2150))
	require.False(t, c.Limits().ColdUnknown(at(2200), "b"))
}
