package profile

// This file forecasts the slowness of targets from their last load reports.

import (
	"math"
	"time"
)

const (
	// initialMean is the assumed mean slowness until load reports have shown it.
	initialMean = 1.8
	// initialDecayTime is the assumed decay time until load reports have shown it.
	initialDecayTime = 300 * time.Millisecond
	// meanGain is the weight of a new load report in the mean slowness.
	meanGain = 0.01
	// minErrorGain is the weight of a new pair of load reports in the forecast errors,
	// once many were seen.
	minErrorGain = 0.005
	// minPairs is the number of pairs of load reports from which forecast errors are
	// compared.
	minPairs = 60
	// minGap is the time between two load reports up to which the second adds nothing
	// to the first.
	minGap = 3 * time.Millisecond
	// maxSlowness bounds the slowness that one load report can count for.
	maxSlowness = 20.0
)

// decayTimes are the candidates for the decay time.
var decayTimes = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, initialDecayTime,
	500 * time.Millisecond, 1000 * time.Millisecond, 2 * time.Second,
}

// forecaster learns from the load reports of all targets of a service. Its forecast
// decays exponentially from a target's last reported slowness to the mean of the service.
// The decay time is the candidate with which a load report best predicted the next one.
type forecaster struct {
	mean      float64
	decayTime time.Duration
	pairs     int
	// errors are the mean squared forecast errors of each candidate.
	errors [len(decayTimes)]float64
}

func newForecaster() forecaster { return forecaster{mean: initialMean, decayTime: initialDecayTime} }

// RecordSlowness records the slowness that a target reported, and the one that it reported
// before. A gap of zero means that there is no previous report.
func (p *Profile) RecordSlowness(before float64, gap time.Duration, after float64) {
	f := &p.forecast
	after = min(after, maxSlowness)
	if gap > minGap {
		f.pairs++
		for i, decayTime := range decayTimes {
			diff := after - f.predict(min(before, maxSlowness), gap, decayTime)
			f.errors[i] += max(minErrorGain, 1/float64(f.pairs)) * (diff*diff - f.errors[i])
		}
		f.selectDecayTime()
	}
	f.mean += meanGain * (after - f.mean)
}

// selectDecayTime selects the decay time with the smallest error.
func (f *forecaster) selectDecayTime() {
	if f.pairs < minPairs {
		return
	}
	best := 0
	for i := range decayTimes {
		if f.errors[i] < f.errors[best] {
			best = i
		}
	}
	f.decayTime = decayTimes[best]
}

func (f *forecaster) predict(slowness float64, age, decayTime time.Duration) float64 {
	weight := math.Exp(-max(0, float64(age)) / float64(decayTime))
	return slowness*weight + f.mean*(1-weight)
}

// MeanSlowness returns the mean slowness of the service's targets.
func (p *Profile) MeanSlowness() float64 { return p.forecast.mean }

// DecayTime returns the decay time of load reports.
func (p *Profile) DecayTime() time.Duration { return p.forecast.decayTime }

// Forecast returns the slowness to expect of a target that reported the given one some
// time ago.
func (p *Profile) Forecast(slowness float64, age time.Duration) float64 {
	return p.forecast.predict(slowness, age, p.DecayTime())
}
