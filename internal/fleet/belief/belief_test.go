package belief

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// words is a belief in a set of words.
type words struct {
	name  string
	known []string
	err   error
}

// Name implements Belief.
func (w *words) Name() string { return w.name }

// Export implements Belief.
func (w *words) Export() ([]byte, error) { return []byte(strings.Join(w.known, " ")), w.err }

// Import implements Belief.
func (w *words) Import(records []byte) error {
	w.known = append(w.known, string(records))
	return w.err
}

func newRegistry(beliefs ...*words) *Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := NewRegistry(logrus.NewEntry(log))
	for _, b := range beliefs {
		r.Register(b)
	}
	return r
}

// Guards against one kind of belief that keeps the others from being passed on.
func TestKindsArePassedOnByThemselves(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name string
		from *words
		want []string
	}{
		{name: "known to both", from: &words{name: "odd", known: []string{"x"}}, want: []string{"x"}},
		{name: "unknown to one", from: &words{name: "new", known: []string{"x"}}},
		{name: "nothing known", from: &words{name: "odd"}},
		{name: "cannot be encoded", from: &words{name: "odd", known: []string{"x"}, err: failed}},
		{name: "too large", from: &words{name: "odd", known: []string{strings.Repeat("x", maxRecordBytes+1)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			odd, good := &words{name: "odd"}, &words{name: "good"}
			newRegistry(odd, good).Import("h", newRegistry(tt.from, &words{name: "good", known: []string{"a", "b"}}).Export())
			require.Equal(t, tt.want, odd.known)
			require.Equal(t, []string{"a b"}, good.known)
		})
	}
	refusing, good := &words{name: "odd", err: failed}, &words{name: "good"}
	newRegistry(refusing, good).Import("h", map[string][]byte{"odd": []byte("x"), "good": []byte("y")})
	require.Equal(t, []string{"y"}, good.known)

	var none *Registry
	require.Nil(t, none.Export())
	none.Import("h", map[string][]byte{"odd": nil})
	require.Nil(t, newRegistry(&words{name: "odd"}).Export())
}
