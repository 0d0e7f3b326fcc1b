package registry

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// recorder is a service that records its starts and stops.
type recorder struct {
	name string
	log  *[]string
	fail error
}

func (s *recorder) Start(context.Context) error {
	*s.log = append(*s.log, "start "+s.name)
	return s.fail
}

func (s *recorder) Stop(context.Context) error {
	*s.log = append(*s.log, "stop "+s.name)
	return nil
}

func TestStartsInOrderAndStopsInReverse(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name string
		fail error
		want []string
	}{
		{name: "all start", want: []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}},
		{name: "last fails", fail: broken, want: []string{"start a", "start b", "start c", "stop b", "stop a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log []string
			r := New()
			r.Provide("a", &recorder{name: "a", log: &log})
			r.Provide("b", &recorder{name: "b", log: &log})
			r.Provide("c", &recorder{name: "c", log: &log, fail: tt.fail})
			require.ErrorIs(t, r.Start(t.Context()), tt.fail)
			require.NoError(t, r.Stop(t.Context()))
			require.Equal(t, tt.want, log)
		})
	}
}

func TestFindReturnsErrorForMissingOrMistypedService(t *testing.T) {
	r := New()
	r.Provide("number", 7)
	_, err := Find[int](r, "links")
	var missing *MissingError
	require.ErrorAs(t, err, &missing)
	_, err = Find[string](r, "number")
	var mistyped *TypeError
	require.ErrorAs(t, err, &mistyped)
	n, err := Find[int](r, "number")
	require.NoError(t, err)
	require.Equal(t, 7, n)
}
