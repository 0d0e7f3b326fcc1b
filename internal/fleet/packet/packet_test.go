package packet

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

type note struct {
	Text string `cbor:"1,keyasint"`
}

func listen(t *testing.T, g *group.Group, keys ...string) (*Conn[note], chan note) {
	t.Helper()
	c, err := Listen[note](t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), func() [][]byte {
		var list [][]byte
		for _, key := range keys {
			list = append(list, []byte(key))
		}
		return list
	})
	require.NoError(t, err)
	got := make(chan note, 8)
	g.Go("receive", func(ctx context.Context) error {
		return c.Run(ctx, func(_ netip.AddrPort, m note) { got <- m })
	})
	return c, got
}

func TestOnlyHoldersOfTheKeyAreHeard(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	receiver, got := listen(t, g, "fleet")
	friend, _ := listen(t, g, "fleet")
	stranger, _ := listen(t, g, "other")
	nobody, _ := listen(t, g)
	to := netip.MustParseAddrPort(receiver.udp.LocalAddr().String())

	require.NoError(t, stranger.Send(to, note{Text: "forged"}))
	require.Error(t, nobody.Send(to, note{Text: "no key"}))
	require.NoError(t, friend.Send(to, note{Text: "hello"}))
	select {
	case m := <-got:
		require.Equal(t, "hello", m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was received")
	}
	require.EqualValues(t, 1, receiver.Rejected())
	require.ErrorIs(t, friend.Send(to, note{Text: string(make([]byte, MaxBytes))}), ErrTooLarge)
}

// While a new key spreads, those who know it accept the old one too.
func TestOlderKeysAreAccepted(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	ahead, got := listen(t, g, "new", "old")
	behind, _ := listen(t, g, "old")
	to := netip.MustParseAddrPort(ahead.udp.LocalAddr().String())
	require.NoError(t, behind.Send(to, note{Text: "hello"}))
	select {
	case m := <-got:
		require.Equal(t, "hello", m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was received")
	}
}
