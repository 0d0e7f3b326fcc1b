package dispatcher

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
)

// Guards against messages on credit that do not fit a datagram, and so never arrive: 24 items with the
// highest values that a message of each direction can have.
func TestLargestCreditMessagesFitADatagram(t *testing.T) {
	request := credit.Item{Account: math.MaxUint64, Need: math.MaxUint32, Returned: math.MaxUint32, Generation: math.MaxUint32}
	response := credit.Item{Account: math.MaxUint64, Granted: math.MaxUint32, Wait: time.Minute, Gap: time.Minute}
	for _, item := range []credit.Item{request, response} {
		m := credit.Message{
			Sender: strings.Repeat("h", 63), Run: math.MaxUint64, ReceiverRun: math.MaxUint64, Stamp: math.MaxInt64, Echo: math.MaxInt64, Response: true, Follow: true,
			Hosts: math.MaxUint16, ViewAge: math.MaxInt64,
		}
		for range credit.MaxItems {
			m.Items = append(m.Items, item)
		}
		data, err := cbor.Marshal(CreditMessage(m))
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), packet.MaxBytes-32)
		var decoded Message
		require.NoError(t, cbor.Unmarshal(data, &decoded))
		require.Equal(t, m, *decoded.Credit)
	}
}

// Guards against messages on credit that do not reach the quotas, or that disturb hosts without them.
func TestCreditMessagesAreHandedOn(t *testing.T) {
	from := netip.MustParseAddrPort("127.0.0.1:1")
	var got []credit.Message
	d := New(Config{Self: "a", OnCredit: func(sender netip.AddrPort, m credit.Message) {
		require.Equal(t, from, sender)
		got = append(got, m)
	}}, group.New(context.Background()))
	d.Receive(from, CreditMessage(credit.Message{Sender: "b"}))
	d.Receive(from, Message{Kind: kindCredit})
	require.Equal(t, []credit.Message{{Sender: "b"}}, got)
	New(Config{Self: "a"}, group.New(context.Background())).Receive(from, CreditMessage(credit.Message{Sender: "b"}))
}
