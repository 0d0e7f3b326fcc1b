package packet

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

type message struct {
	Text string `cbor:"1,keyasint"`
}

func listen(t *testing.T, g *group.Group, secrets ...string) (*Conn[message], chan message) {
	t.Helper()
	c, err := Listen[message](t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), func() [][]byte {
		var list [][]byte
		for _, secret := range secrets {
			list = append(list, []byte(secret))
		}
		return list
	})
	require.NoError(t, err)
	received := make(chan message, 8)
	g.Go("receive", func(ctx context.Context) error {
		return c.Run(ctx, func(_ netip.AddrPort, m message) { received <- m }, func(error) {})
	})
	return c, received
}

func TestMessagesWithoutValidMACAreRejected(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	receiver, received := listen(t, g, "fleet")
	sender, _ := listen(t, g, "fleet")
	forger, _ := listen(t, g, "other")
	withoutSecret, _ := listen(t, g)
	to := netip.MustParseAddrPort(receiver.udp.LocalAddr().String())

	require.NoError(t, forger.Send(to, message{Text: "forged"}))
	require.Error(t, withoutSecret.Send(to, message{Text: "no secret"}))
	require.NoError(t, sender.Send(to, message{Text: "hello"}))
	select {
	case m := <-received:
		require.Equal(t, "hello", m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("no message was received")
	}
	require.EqualValues(t, 1, receiver.Rejected())
	require.ErrorIs(t, sender.Send(to, message{Text: string(make([]byte, MaxBytes))}), ErrTooLarge)
}

// Guards against hosts that do not get a message because another one cannot be sent to.
func TestMessageIsSentToAllHostsThatItCanReach(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	a, receivedA := listen(t, g, "fleet")
	b, receivedB := listen(t, g, "fleet")
	sender, _ := listen(t, g, "fleet")
	address := func(c *Conn[message]) netip.AddrPort { return netip.MustParseAddrPort(c.udp.LocalAddr().String()) }
	require.Error(t, sender.SendAll([]netip.AddrPort{address(a), {}, address(b)}, message{Text: "hello"}))
	for _, received := range []<-chan message{receivedA, receivedB} {
		select {
		case m := <-received:
			require.Equal(t, "hello", m.Text)
		case <-time.After(5 * time.Second):
			t.Fatal("no message was received")
		}
	}
}

// While a new secret spreads, hosts that know it also accept the old one.
func TestOlderSecretsAreAccepted(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	updated, received := listen(t, g, "new", "old")
	outdated, _ := listen(t, g, "old")
	to := netip.MustParseAddrPort(updated.udp.LocalAddr().String())
	require.NoError(t, outdated.Send(to, message{Text: "hello"}))
	select {
	case m := <-received:
		require.Equal(t, "hello", m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("no message was received")
	}
}

func TestFailedReadDoesNotEndTheReceiver(t *testing.T) {
	g := group.New(t.Context())
	defer func() { _ = g.Stop() }()
	receiver, received := listen(t, g, "fleet")
	sender, _ := listen(t, g, "fleet")
	require.NoError(t, receiver.udp.SetReadDeadline(time.Now().Add(-time.Second)))
	time.Sleep(5 * readRetryDelay)
	require.NoError(t, receiver.udp.SetReadDeadline(time.Time{}))
	require.NoError(t, sender.Send(netip.MustParseAddrPort(receiver.udp.LocalAddr().String()), message{Text: "hello"}))
	select {
	case m := <-received:
		require.Equal(t, "hello", m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("no message was received")
	}
}
