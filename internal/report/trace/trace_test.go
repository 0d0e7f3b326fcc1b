package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `  2.3 host-b {"msg":"wait has become hopeless","part":"dispatcher","request":"r-1","self":"host-b","time":"2026-08-24T18:32:42.283Z","waiting":11}
{"msg":"request finished","outcome":"refused","part":"entry","reason":"no target has room","request":"r-1","self":"host-a","time":"2026-08-24T18:32:42.285Z"}
{"msg":"request finished","outcome":"unknown","part":"entry","reason":"answer lost","request":"r-2","self":"host-a","target":"t-9","time":"2026-08-24T18:32:43.285Z"}
{"msg":"send ended","part":"entry","request":"r-3","self":"host-a","time":"2026-08-24T18:32:41.285Z"}
{"broken r-4
`

func TestTimelineAndCause(t *testing.T) {
	tests := []struct {
		id   string
		want []string
		err  error
	}{
		{id: "r-1", want: []string{"0.0 ms  host-b", "2.0 ms  host-a", "cause: refused before it ran: no target has room"}},
		{id: "r-2", want: []string{"cause: may have run at t-9: answer lost"}},
		{id: "r-3", want: []string{"no host told of its end"}},
		{id: "r-4", err: ErrNotFound},
		{id: "r-5", err: ErrNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.id, func(t *testing.T) {
			tr := New(tt.id)
			require.NoError(t, tr.Read(strings.NewReader(logs)))
			var b strings.Builder
			require.ErrorIs(t, tr.Write(&b), tt.err)
			for _, want := range tt.want {
				require.Contains(t, b.String(), want)
			}
		})
	}
}
