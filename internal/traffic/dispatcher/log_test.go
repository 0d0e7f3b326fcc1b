package dispatcher

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
)

func TestChangedProfilesAreLogged(t *testing.T) {
	_, list := newFleet(t, 1, 2, 4)
	d := list[0]
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	d.cfg.Log = logrus.NewEntry(logger)
	now := time.Now()
	tick := func(after time.Duration) int {
		d.Tick(now.Add(after))
		return strings.Count(out.String(), "targets are taken to be like this")
	}
	require.Equal(t, 1, tick(time.Second))
	require.Equal(t, 1, tick(3*time.Second), "an unchanged profile is not logged again")
	for range 20 {
		d.chooser.RecordResponse("t-0", false)
	}
	require.Equal(t, 1, tick(3*time.Second+profileLogPeriod/2), "at most one line per period")
	require.Equal(t, 2, tick(5*time.Second))
	require.Contains(t, out.String(), "tells-load=false")
}

// The dispatcher logs the granted requests of an entry host that left the fleet.
func TestRequestsOfGoneHostAreLogged(t *testing.T) {
	_, list := newFleet(t, 2, 2, 3)
	dispatcher, other := dispatcherAndOther(list)
	req := newRequest(5 * time.Second)
	req.ID = "r-1"
	grant, err := other.Place(t.Context(), req)
	require.NoError(t, err)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	dispatcher.cfg.Log = logrus.NewEntry(logger)
	s := *dispatcher.snapshot
	s.Hosts = map[string]directory.Host{dispatcher.cfg.Self: s.Hosts[dispatcher.cfg.Self]}
	dispatcher.SetSnapshot(&s, nil)
	require.Contains(t, out.String(), "request=r-1")
	require.Contains(t, out.String(), "host="+other.cfg.Self)
	require.Contains(t, out.String(), "target="+grant.ID)
	require.Zero(t, dispatcher.chooser.InFlight("s"))
}
