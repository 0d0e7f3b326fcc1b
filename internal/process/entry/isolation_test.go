package entry_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Guards against hosts that outlast their test: the store of a later test may have the same port, and the
// hosts of the ended test would register in it.
func TestHostsEndWithTheirTest(t *testing.T) {
	var address string
	t.Run("cluster", func(t *testing.T) {
		cl := newCluster(t, 3, target("t-0", platformtest.Behaviour{}))
		address = cl.store.Address().String()
	})
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	defer l.Close()
	require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(3*time.Second)))
	conn, err := l.Accept()
	if err == nil {
		conn.Close()
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a host of the ended test calls its store")
}
