package credit

// This file defines Issuer, the decisions of a credit host.

import (
	"math"
	"slices"
	"time"
)

const (
	// sizeTime is the time for which the largest number of hosts that a view has held counts.
	// Entries of hosts may be missing while their processes run.
	sizeTime = 15 * time.Second
	// staleTime is the age of the view from which on a credit host issues only if all hosts follow
	// it. Hosts that are connected to the store may have removed this one from their views; after
	// sizeTime they issue its part of the quotas themselves.
	staleTime = sizeTime - 3*time.Second
	// minCapacityTime is the time for which a bucket collects credit at least, since hosts ask for
	// several requests at once.
	minCapacityTime = 100 * time.Millisecond
	// generationTime is the length of a generation, by which issued credit is counted, and
	// windowGenerations the number of them in which credit is issued that is spent within 5 s: 5 s
	// and grantTime, rounded up.
	generationTime    = 200 * time.Millisecond
	windowGenerations = 27
	// rateTolerance, burstTolerance and tolerance allow for credit that is counted too long in a
	// window, as seconds of the rate, as a share of the burst, and in requests. They are half of what a
	// window of 5 s may exceed the credit that is issued for it.
	rateTolerance  = 0.05
	burstTolerance = 0.05
	tolerance      = 8.0
	// maxWaitTime bounds the waits in responses, so that a tiny rate does not exceed the range of a
	// duration.
	maxWaitTime = time.Minute
)

// Limit is the quota of an account.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// bucket is the token bucket of an account.
type bucket struct {
	limit  Limit
	tokens float64
	// issuing and starts are the values of Issuer at which tokens was computed.
	issuing float64
	starts  float64
	// generation is the current generation. net counts the credit that was issued in the last
	// generations and not returned, by the generation modulo windowGenerations, and total its sum.
	generation int64
	net        [windowGenerations]int32
	total      int
	// refused counts the credit that was asked for in vain in this generation and the last, and
	// askers the requests for it.
	refused, askers [2]int32
}

// mark is the state of an issuer at the start of a generation.
type mark struct {
	share   float64
	issuing float64
}

// follower is a host that follows this credit host, or did so a moment ago.
type follower struct {
	run uint64
	// stamp is that of the last request, by the clock of the follower.
	stamp time.Duration
	// until is the time until which the follower counts; zero if it does not.
	until time.Duration
	// seen is the time of the last request.
	seen time.Duration
}

// peak is a number of hosts that counts until a time.
type peak struct {
	hosts int
	until time.Duration
}

// Issuer decides as a credit host. Use NewIssuer to create one.
type Issuer struct {
	self    string
	run     uint64
	started time.Duration
	// resigned is set when the host shuts down.
	resigned bool
	view     View
	// peaks holds the numbers of hosts of the last sizeTime.
	peaks []peak
	// freshAt is the time as of which this host or a follower knew the current view.
	freshAt time.Duration

	limits    map[AccountID]Limit
	buckets   map[AccountID]*bucket
	followers map[string]*follower
	// counted is the number of followers that count, and nextEnd a time before which none ends.
	counted int
	nextEnd time.Duration
	// share is the part of the quotas that this host issues, and issuing its integral up to at, in
	// seconds.
	share   float64
	issuing float64
	at      time.Duration
	// starts is the sum of the parts of the fleet that settled followers brought.
	starts float64
	// marks holds the state at the start of the last generations, by the generation modulo
	// windowGenerations.
	marks [windowGenerations]mark
}

// NewIssuer returns an issuer without a view, limits and followers. run identifies the process.
func NewIssuer(now time.Duration, self string, run uint64) *Issuer {
	return &Issuer{self: self, run: run, started: now, at: now, followers: map[string]*follower{}}
}

// SetLimits sets the quotas by account. Lower ones apply to the content of buckets at once.
func (i *Issuer) SetLimits(now time.Duration, limits map[AccountID]Limit) {
	i.advance(now)
	for id, b := range i.buckets {
		i.settle(b)
		limit, ok := limits[id]
		if !ok {
			delete(i.buckets, id)
			continue
		}
		if limit.PerSecond < b.limit.PerSecond || limit.Burst < b.limit.Burst {
			// What was issued under the former limit is not charged to the lower one.
			b.net, b.total = [windowGenerations]int32{}, 0
		}
		b.limit = limit
		i.settle(b)
	}
	i.limits = limits
	if i.share > 0 {
		i.addBuckets()
	}
}

// SetView sets what the host knows of the fleet.
func (i *Issuer) SetView(now time.Duration, v View) {
	i.advance(now)
	i.view = v
	i.noteHosts(now, v.Hosts)
	i.freshAt = max(i.freshAt, now-v.Age)
	i.updateShare(now)
}

// Resign makes the host issue no more credit and count no followers. It returns the names of those
// that must be told.
func (i *Issuer) Resign(now time.Duration) []string {
	i.advance(now)
	i.resigned = true
	var names []string
	for name, f := range i.followers {
		if f.until > 0 {
			names = append(names, name)
		}
		i.setUntil(f, 0)
	}
	slices.Sort(names)
	i.updateShare(now)
	return names
}

// Resignation returns the message that tells a follower of Resign.
func (i *Issuer) Resignation(now time.Duration) Message {
	return Message{Sender: i.self, Run: i.run, Stamp: now, Response: true, Unavailable: true}
}

// Share returns the part of the quotas that this host issues, and the numbers of its followers and
// of the hosts of the fleet.
func (i *Issuer) Share() (share float64, followers, hosts int) {
	return i.share, i.counted, i.hosts(i.at)
}

// Handle handles a request and returns the response. ok is false for a request that gets none: one
// that was repeated or overtaken.
func (i *Issuer) Handle(now time.Duration, m Message) (response Message, ok bool) {
	i.advance(now)
	now = i.at
	f := i.followers[m.Sender]
	if f == nil {
		f = &follower{}
		i.followers[m.Sender] = f
	}
	if f.run == m.Run && m.Stamp <= f.stamp {
		return Message{}, false
	}
	f.run, f.stamp, f.seen = m.Run, m.Stamp, now
	i.nextEnd = min(i.nextEnd, now+followTime)
	response = Message{Sender: i.self, Run: i.run, ReceiverRun: m.Run, Stamp: now, Echo: m.Stamp, Response: true}
	if !i.available() {
		i.setUntil(f, 0)
		i.updateShare(now)
		response.Unavailable = true
		return response, true
	}
	joined := false
	switch {
	case !m.Follow:
		i.setUntil(f, 0)
	case m.ReceiverRun == i.run && m.Echo <= now && m.Echo+followTime > now:
		joined = f.until == 0
		i.setUntil(f, max(f.until, m.Echo+followTime))
		i.noteHosts(now, m.Hosts)
		i.freshAt = max(i.freshAt, m.Echo-m.ViewAge)
	}
	response.Follow = f.until > now
	i.updateShare(now)
	if joined && m.Settled && i.share > 0 {
		i.starts += 1 / float64(max(i.hosts(now), i.counted))
	}
	if !response.Follow {
		return response, true
	}
	for _, item := range m.Items {
		response.Items = append(response.Items, i.handleItem(now, item))
	}
	return response, true
}

// available reports whether hosts may follow this one.
func (i *Issuer) available() bool { return !i.resigned && i.view.Hosts > 0 && len(i.limits) > 0 }

func (i *Issuer) handleItem(now time.Duration, item Item) Item {
	out := Item{Account: item.Account}
	b := i.buckets[item.Account]
	if b == nil {
		out.Unknown = true
		return out
	}
	i.settle(b)
	b.roll(now)
	i.takeBack(b, item)
	out.Granted = max(0, min(item.Need, int(b.tokens), i.allowed(b)))
	b.tokens -= float64(out.Granted)
	b.net[b.generation%windowGenerations] += int32(out.Granted)
	b.total += out.Granted
	if refused := item.Need - out.Granted; refused > 0 {
		rate := i.share * b.limit.PerSecond
		ahead := max(b.refused[0], b.refused[1])
		out.Wait = wait(float64(ahead)+1-b.tokens, rate)
		b.refused[0] += int32(min(refused, math.MaxInt16))
		b.askers[0]++
		out.Gap = wait(float64(max(b.askers[0], b.askers[1])), rate)
	}
	return out
}

// wait returns the time in which n credits are issued at a rate, or maxWaitTime if it is longer.
func wait(n, perSecond float64) time.Duration {
	return time.Duration(min(maxWaitTime.Seconds(), n/perSecond) * float64(time.Second))
}

// takeBack adds returned credit to a bucket. It no longer counts in the generation that it was issued
// in.
func (i *Issuer) takeBack(b *bucket, item Item) {
	if item.Returned <= 0 {
		return
	}
	if g := item.Generation; g <= b.generation && g > b.generation-windowGenerations {
		n := min(int32(min(item.Returned, math.MaxInt32)), b.net[g%windowGenerations])
		b.net[g%windowGenerations] -= n
		b.total -= int(n)
	}
	b.tokens = min(i.capacity(b, i.share), b.tokens+float64(item.Returned))
}

// allowed returns the credit that may be issued although credit was returned late. Within
// windowGenerations, a bucket issues what it held before and what was added, also if it got back credit
// that had been issued earlier: the requests that run then would exceed the quota otherwise.
func (i *Issuer) allowed(b *bucket) int {
	first := i.marks[(b.generation+1)%windowGenerations]
	added := b.limit.PerSecond * (i.issuing - first.issuing)
	tolerated := i.share * (rateTolerance*b.limit.PerSecond + burstTolerance*b.limit.Burst + tolerance)
	return int(min(math.MaxInt32, i.capacity(b, first.share)+added+tolerated)) - b.total
}

// roll starts a new generation of counters if the last one has ended.
func (b *bucket) roll(now time.Duration) {
	generation := int64(now / generationTime)
	switch generation - b.generation {
	case 0:
		return
	case 1:
		b.refused, b.askers = [2]int32{0, b.refused[0]}, [2]int32{0, b.askers[0]}
	default:
		b.refused, b.askers = [2]int32{}, [2]int32{}
	}
	for g := max(b.generation+1, generation-windowGenerations+1); g <= generation; g++ {
		b.total -= int(b.net[g%windowGenerations])
		b.net[g%windowGenerations] = 0
	}
	b.generation = generation
}

// capacity returns the most credit that a bucket holds if this host issues a share of the quotas.
func (*Issuer) capacity(b *bucket, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(1, share*max(b.limit.Burst, b.limit.PerSecond*minCapacityTime.Seconds()))
}

// settle adds the credit since the last call to a bucket.
func (i *Issuer) settle(b *bucket) {
	added := b.limit.PerSecond*(i.issuing-b.issuing) + startCredit*(i.starts-b.starts)
	b.issuing, b.starts = i.issuing, i.starts
	b.tokens = min(i.capacity(b, i.share), b.tokens+added)
}

// addBuckets adds empty buckets for the accounts that have none.
func (i *Issuer) addBuckets() {
	if i.buckets == nil {
		i.buckets = make(map[AccountID]*bucket, len(i.limits))
	}
	for id, limit := range i.limits {
		if i.buckets[id] == nil {
			i.buckets[id] = &bucket{limit: limit, issuing: i.issuing, starts: i.starts}
		}
	}
}

// advance moves the time forward. Followers whose time has ended count for none of the time since
// the last call.
func (i *Issuer) advance(now time.Duration) {
	if now < i.at {
		return
	}
	if now >= i.nextEnd {
		i.dropFollowers(now)
	}
	i.updateShare(now)
	last := int64(now / generationTime)
	for g := max(int64(i.at/generationTime), last-windowGenerations) + 1; g <= last; g++ {
		i.marks[g%windowGenerations] = mark{share: i.share, issuing: i.issuing + i.share*(time.Duration(g)*generationTime-i.at).Seconds()}
	}
	i.issuing += i.share * (now - i.at).Seconds()
	i.at = now
}

// dropFollowers ends the time of followers that have not been heard.
func (i *Issuer) dropFollowers(now time.Duration) {
	i.nextEnd = math.MaxInt64
	for name, f := range i.followers {
		switch {
		case f.until > now:
			i.nextEnd = min(i.nextEnd, f.until)
		case now-f.seen >= followTime:
			// A delayed request from before then would not count either, by its echo.
			i.setUntil(f, 0)
			delete(i.followers, name)
		default:
			i.setUntil(f, 0)
			i.nextEnd = min(i.nextEnd, f.seen+followTime)
		}
	}
}

// setUntil sets the time until which a follower counts; zero if it does not.
func (i *Issuer) setUntil(f *follower, until time.Duration) {
	switch {
	case f.until == 0 && until > 0:
		i.counted++
	case f.until > 0 && until == 0:
		i.counted--
	}
	f.until = until
	if until > 0 {
		i.nextEnd = min(i.nextEnd, until)
	}
}

// updateShare sets the share by the number of followers. When it becomes smaller, the content of all
// buckets does.
func (i *Issuer) updateShare(now time.Duration) {
	before := i.share
	hosts := max(i.hosts(now), i.counted)
	i.share = float64(i.counted) / float64(max(1, hosts))
	if !i.available() || i.counted < hosts && now-i.freshAt > staleTime {
		i.share = 0
	}
	switch {
	case i.share <= 0:
		// The next credit host may issue everything that the buckets hold.
		i.buckets = nil
	case i.share < before:
		for _, b := range i.buckets {
			i.settle(b)
		}
	case before <= 0:
		i.addBuckets()
	}
}

// hosts returns the number of hosts by which quotas are divided.
func (i *Issuer) hosts(now time.Duration) int {
	n := i.view.Hosts
	if now-i.started < sizeTime {
		n = max(n, i.view.Recorded)
	}
	for _, p := range i.peaks {
		if now < p.until {
			n = max(n, p.hosts)
		}
	}
	return n
}

// noteHosts records a number of hosts of the view of this host or a follower.
func (i *Issuer) noteHosts(now time.Duration, hosts int) {
	until := now + sizeTime
	i.peaks = slices.DeleteFunc(i.peaks, func(p peak) bool { return p.until <= now || p.hosts <= hosts })
	i.peaks = append(i.peaks, peak{hosts: hosts, until: until})
}
