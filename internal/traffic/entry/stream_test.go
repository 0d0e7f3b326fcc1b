package entry

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a target without an end to its responses that is spared since clients read slowly.
func TestResponseOverTheSizeLimitCountsAgainstItsTarget(t *testing.T) {
	tests := []struct {
		name       string
		stream     stream
		clientLeft bool
		want       bool
	}{
		{name: "too large, slow target", stream: stream{readErr: errResponseTooLarge, reading: time.Second, writing: time.Millisecond}, want: true},
		{name: "too large, slow client", stream: stream{readErr: errResponseTooLarge, reading: time.Millisecond, writing: time.Second}, want: true},
		{name: "broken off, slow target", stream: stream{readErr: io.ErrUnexpectedEOF, reading: time.Second, writing: time.Millisecond}, want: true},
		{name: "broken off, slow client", stream: stream{readErr: io.ErrUnexpectedEOF, reading: time.Millisecond, writing: time.Second}, want: false},
		{name: "client left", stream: stream{readErr: errors.New("context canceled"), reading: time.Second}, clientLeft: true, want: false},
		{name: "client does not read", stream: stream{writing: time.Second}, want: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.stream.targetFailed(tt.clientLeft))
		})
	}
}
