package credit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair is an issuer with a follower, which make up the whole fleet with another host that is silent.
type pair struct {
	t     *testing.T
	i     *Issuer
	now   time.Duration
	stamp time.Duration
	echo  time.Duration
	last  Message
}

func newPair(t *testing.T, l Limit) *pair {
	p := &pair{t: t, i: NewIssuer(time.Hour, "a", 1), now: time.Hour}
	p.i.SetLimits(p.now, map[AccountID]Limit{1: l})
	p.i.SetView(p.now, View{Hosts: 2})
	return p
}

// send sends a request of the follower, and returns the response.
func (p *pair) send(items ...Item) Message {
	p.stamp++
	p.last = Message{Sender: "b", Run: 2, ReceiverRun: 1, Stamp: p.stamp, Echo: p.echo, Follow: true, Hosts: 2, Items: items}
	response, ok := p.i.Handle(p.now, p.last)
	require.True(p.t, ok)
	p.echo = response.Stamp
	return response
}

func (p *pair) run(length time.Duration) {
	for end := p.now + length; p.now < end; p.now += HeartbeatPeriod {
		p.i.SetView(p.now, View{Hosts: 2})
		p.send()
	}
}

// Guards against credit that is granted or taken back twice, because a message arrived twice or after a
// later one.
func TestRepeatedRequestsAreIgnored(t *testing.T) {
	p := newPair(t, Limit{PerSecond: 10, Burst: 40})
	p.run(6 * time.Second)
	require.Equal(t, 20, p.send(Item{Account: 1, Need: 30}).Items[0].Granted, "half of the fleet gets half of the burst")
	p.send(Item{Account: 1, Returned: 5, Generation: int64(p.now / generationTime)})
	_, ok := p.i.Handle(p.now, p.last)
	require.False(t, ok)
	require.Equal(t, 5, p.send(Item{Account: 1, Need: 30}).Items[0].Granted)
}

// Guards against credit of a credit host that was stopped: another one may have issued it meanwhile.
func TestStoppedCreditHostStartsWithoutCredit(t *testing.T) {
	for _, stop := range []time.Duration{followTime, 10 * time.Second} {
		p := newPair(t, Limit{PerSecond: 10, Burst: 40})
		p.run(6 * time.Second)
		p.now += stop
		require.False(t, p.send(Item{Account: 1, Need: 30}).Follow, "the stamp of the request is old")
		response := p.send(Item{Account: 1, Need: 30})
		require.True(t, response.Follow)
		require.Zero(t, response.Items[0].Granted)
	}
}

// Guards against followers of a former process of the credit host that count at the new one.
func TestFollowersOfAFormerProcessDoNotCount(t *testing.T) {
	p := newPair(t, Limit{PerSecond: 10, Burst: 40})
	p.run(time.Second)
	p.i = NewIssuer(p.now, "a", 7)
	p.i.SetLimits(p.now, map[AccountID]Limit{1: {PerSecond: 10}})
	p.i.SetView(p.now, View{Hosts: 2})
	require.False(t, p.send().Follow)
	_, followers, _ := p.i.Share()
	require.Zero(t, followers)
}

// Guards against a host without a view, without quotas or that shuts down, which others follow in vain.
func TestHostThatIssuesNoCreditSaysSo(t *testing.T) {
	tests := []struct {
		name string
		do   func(i *Issuer)
	}{
		{name: "no view", do: func(i *Issuer) { i.SetView(time.Hour, View{}) }},
		{name: "no quotas", do: func(i *Issuer) { i.SetLimits(time.Hour, nil) }},
		{name: "shuts down", do: func(i *Issuer) { require.Equal(t, []string{"b"}, i.Resign(time.Hour)) }},
	}
	for _, tt := range tests {
		p := newPair(t, Limit{PerSecond: 10})
		p.send()
		require.True(t, p.send().Follow)
		tt.do(p.i)
		require.True(t, p.send().Unavailable, tt.name)
		_, followers, _ := p.i.Share()
		require.Zero(t, followers, tt.name)
	}
}

// Guards against a host that starts with a view that lacks most of the fleet, and issues more than its
// part.
func TestCreditHostThatStartsDividesByTheRecordedFleet(t *testing.T) {
	p := newPair(t, Limit{PerSecond: 10})
	p.i.SetView(p.now, View{Hosts: 2, Recorded: 50})
	p.send()
	p.send()
	share, _, hosts := p.i.Share()
	require.Equal(t, 50, hosts)
	require.InDelta(t, 1.0/50, share, 1e-9)
	p.run(sizeTime)
	_, _, hosts = p.i.Share()
	require.Equal(t, 2, hosts)
}

// Guards against a process that follows a credit host while its predecessor still counts at another.
func TestProcessThatStartsFollowsNoHostAtFirst(t *testing.T) {
	now := time.Hour
	s, i := NewSpender(now, "b", 2), NewIssuer(now, "a", 1)
	s.SetCandidates([]string{"a", "b"})
	i.SetLimits(now, map[AccountID]Limit{1: {PerSecond: 10}})
	i.SetView(now, View{Hosts: 2})
	for ; now < time.Hour+2*time.Second; now += 10 * ms {
		for _, out := range s.Poll(now, View{Hosts: 2}) {
			if out.To != "a" {
				continue
			}
			if now < time.Hour+followTime {
				require.False(t, out.Message.Follow)
			}
			if response, ok := i.Handle(now, out.Message); ok {
				s.Receive(now, response)
			}
		}
	}
	require.Equal(t, "a", s.Following())
}

// Guards against a host whose view lacks other hosts: it must not take itself for the whole fleet.
func TestHostWithoutAViewSendsNothing(t *testing.T) {
	s := NewSpender(time.Hour, "b", 2)
	require.Equal(t, Wait, s.Charge(time.Hour+time.Second, 1, false).Outcome)
	require.Empty(t, s.Poll(time.Hour+time.Second, View{}))
	require.Equal(t, Unavailable, s.Expire(time.Hour+2*time.Second, 1).Outcome)
}

// Guards against rates at the ends of their range, which must neither overflow nor refuse everything.
func TestExtremeRates(t *testing.T) {
	p := newPair(t, Limit{PerSecond: 1e12, Burst: 1e12})
	p.run(time.Second)
	require.Equal(t, 1000, p.send(Item{Account: 1, Need: 1000}).Items[0].Granted)
	p = newPair(t, Limit{PerSecond: 1e-9})
	p.run(time.Second)
	response := p.send(Item{Account: 1, Need: 1000})
	require.Zero(t, response.Items[0].Granted)
	require.Equal(t, maxWaitTime, response.Items[0].Wait)
}

// Guards against requests that are refused at the start of a process although credit is about to come, and
// against waits without a credit host that have no end.
func TestRequestsWaitUntilTheHostMayFollow(t *testing.T) {
	const start = time.Hour
	s := NewSpender(start, "b", 2)
	require.Equal(t, Wait, s.Charge(start, 1, false).Outcome)
	require.Equal(t, followTime+MaxWait, s.WaitTime(start))
	require.Equal(t, MaxWait, s.WaitTime(start+followTime))
	require.Equal(t, MaxWait, s.WaitTime(start+time.Minute))
}

// Guards against credit that counts as scarce for ever, or that does not although requests are refused.
func TestCreditIsScarceAfterARefusal(t *testing.T) {
	const now = time.Hour
	s := NewSpender(now, "b", 2)
	s.Charge(now, 1, false)
	_, scarce := s.Scarce(now, 1)
	require.False(t, scarce)
	s.apply(now, &Message{}, Item{Account: 1, Wait: MaxWait})
	_, scarce = s.Scarce(now, 1)
	require.False(t, scarce, "a short wait is no refusal")
	s.apply(now, &Message{}, Item{Account: 1, Wait: 2 * MaxWait, Gap: 10 * time.Millisecond})
	first, scarce := s.Scarce(now, 1)
	require.True(t, scarce)
	second, _ := s.Scarce(now, 1)
	require.Equal(t, 10*time.Millisecond, second-first, "clients come back one after the other")
	_, scarce = s.Scarce(now+scarceTime, 1)
	require.False(t, scarce)
	_, scarce = s.Scarce(now, 2)
	require.False(t, scarce, "another account")
}

// Guards against requests that are refused for up to a minute although the limit, the followers or the
// credit host have changed since the refusal.
func TestRefusalDoesNotOutliveItsReason(t *testing.T) {
	const now = time.Hour
	s := NewSpender(now, "b", 2)
	s.Charge(now, 1, false)
	s.apply(now, &Message{}, Item{Account: 1, Wait: time.Minute, Gap: time.Second})
	refused := s.Charge(now, 1, false)
	require.Equal(t, Exceeded, refused.Outcome)
	require.Equal(t, Wait, s.Charge(now+scarceTime, 1, false).Outcome, "credit is asked for again")
	s.apply(now, &Message{}, Item{Account: 1, Wait: time.Minute, Gap: time.Second})
	s.unfollow()
	require.Equal(t, Wait, s.Charge(now, 1, false).Outcome, "another credit host decides anew")
}

// Guards against a restarted process that waits for credit although its predecessor counted at the same
// credit host, and against one that does not wait although its predecessor may count at another.
func TestRestartedProcessFollowsTheSameCreditHostAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// predecessor is set if an earlier process follows the credit host, until down before the start.
		predecessor bool
		down        time.Duration
		waits       time.Duration
	}{
		{name: "predecessor counted a moment ago", predecessor: true, down: followTime / 4, waits: 30 * ms},
		{name: "predecessor counts no more", predecessor: true, down: followTime + 50*ms, waits: followTime + 30*ms},
		{name: "no predecessor", waits: followTime + 30*ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Hour
			i := NewIssuer(now, "a", 1)
			i.SetLimits(now, map[AccountID]Limit{1: {PerSecond: 10}})
			i.SetView(now, View{Hosts: 2})
			// run runs a process of host b until it follows the credit host or limit has passed.
			run := func(process uint64, limit time.Duration) time.Duration {
				s, start := NewSpender(now, "b", process), now
				s.SetCandidates([]string{"a", "b"})
				for now-start < limit && s.Following() != "a" {
					for _, out := range s.Poll(now, View{Hosts: 2}) {
						if response, ok := i.Handle(now, out.Message); ok && out.To == "a" {
							s.Receive(now, response)
						}
					}
					now += 10 * ms
				}
				for _, out := range s.Poll(now, View{Hosts: 2}) {
					if out.To == "a" {
						i.Handle(now, out.Message)
					}
				}
				return now - start
			}
			if tt.predecessor {
				run(2, 2*time.Second)
				now += tt.down
			}
			waited := run(3, 2*time.Second)
			require.LessOrEqual(t, waited, tt.waits)
			require.Greater(t, waited, tt.waits-60*ms)
		})
	}
}
