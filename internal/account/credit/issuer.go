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
	// generations the number of them that are kept. Credit that is returned later is lost.
	generationTime = 200 * time.Millisecond
	generations    = 27
	// lentTime and lentCredit are what the bound of a bucket exceeds its capacity by, in seconds of the
	// rate and in requests. Hosts return a part of what they get for small needs after a period; it
	// would be lost where the burst is smaller.
	lentTime   = 100 * time.Millisecond
	lentCredit = 3.0
	// marksKept is the number of generations whose state is kept. Buckets that were not used need that
	// of the generations since all were brought up to date, and of those that are kept then.
	marksKept = 2*generations + 2
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
//
// Credit that is returned is added to the content, but that alone would let too many requests run: credit
// that was issued long ago and returned now adds to the credit of this moment. So a bucket also counts
// what it issued in each of the last generations. Credit that is returned is subtracted from the
// generation that issued it, and the bucket issues no more than one that had never issued it could.
type bucket struct {
	limit Limit
	// tokens is the content when issuing and starts had the values of Issuer.
	tokens  float64
	issuing float64
	starts  float64
	// base is the most that the bucket may have held at the start of generation first, and net the
	// credit issued in each generation from then on and not returned, by the generation modulo
	// generations.
	base  float64
	first int64
	net   [generations]int32
	// refused counts the credit that was asked for in vain in generation askedIn and the one before,
	// and askers the requests for it.
	refused, askers [2]int32
	askedIn         int64
}

// mark is the state of an issuer in a generation: the values of issuing and starts at its start, and
// the highest share.
type mark struct {
	issuing float64
	starts  float64
	share   float64
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
	// marks holds the state in the last generations, by the generation modulo marksKept, and
	// shifted is the last generation in which all buckets were brought up to date.
	marks   [marksKept]mark
	shifted int64
}

// NewIssuer returns an issuer without a view, limits and followers. run identifies the process.
func NewIssuer(now time.Duration, self string, run uint64) *Issuer {
	return &Issuer{self: self, run: run, started: now, at: now, followers: map[string]*follower{}}
}

// SetLimits sets the quotas by account. Lower ones apply to the content of buckets at once.
func (i *Issuer) SetLimits(now time.Duration, limits map[AccountID]Limit) {
	i.advance(now)
	current := generation(i.at)
	for id, b := range i.buckets {
		limit, ok := limits[id]
		if !ok {
			delete(i.buckets, id)
			continue
		}
		if limit != b.limit {
			i.settle(b)
			i.shift(b, current)
			content := min(b.tokens, i.bound(b, current))
			b.limit = limit
			i.rebase(b, min(content, b.capacity(i.share)))
		}
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
	replaced := f.run != m.Run && f.until > now
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
		response.Replaced = replaced
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
	current := generation(now)
	i.settle(b)
	i.shift(b, current)
	i.takeBack(b, item, current)
	content := min(b.tokens, i.bound(b, current))
	out.Granted = max(0, min(item.Need, int(min(content, math.MaxInt16))))
	b.tokens -= float64(out.Granted)
	b.net[current%generations] += int32(out.Granted)
	if refused := item.Need - out.Granted; refused > 0 {
		b.roll(current)
		rate := i.share * b.limit.PerSecond
		ahead := max(b.refused[0], b.refused[1])
		out.Wait = wait(float64(ahead)+1-(content-float64(out.Granted)), rate)
		b.refused[0] += int32(min(refused, math.MaxInt16))
		b.askers[0]++
		out.Gap = wait(float64(max(b.askers[0], b.askers[1])), rate)
	}
	return out
}

// generation returns the generation of a time.
func generation(now time.Duration) int64 { return int64(now / generationTime) }

// wait returns the time in which n credits are issued at a rate, or maxWaitTime if it is longer.
func wait(n, perSecond float64) time.Duration {
	return time.Duration(min(maxWaitTime.Seconds(), n/perSecond) * float64(time.Second))
}

// takeBack takes back credit.
func (i *Issuer) takeBack(b *bucket, item Item, current int64) {
	if g := item.Generation; item.Returned > 0 && g >= b.first && g <= current {
		n := min(item.Returned, int(b.net[g%generations]))
		b.net[g%generations] -= int32(n)
		b.tokens = min(b.capacity(i.share), b.tokens+float64(n))
	}
}

// roll starts a new generation of the counters of refused credit if the last one has ended.
func (b *bucket) roll(current int64) {
	switch current - b.askedIn {
	case 0:
	case 1:
		b.refused, b.askers = [2]int32{0, b.refused[0]}, [2]int32{0, b.askers[0]}
	default:
		b.refused, b.askers = [2]int32{}, [2]int32{}
	}
	b.askedIn = current
}

// capacity returns the most credit that a bucket holds if this host issues a share of the quotas.
func (b *bucket) capacity(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return max(1, share*max(b.limit.Burst, b.limit.PerSecond*minCapacityTime.Seconds()))
}

// settle adds the credit since the last call to a bucket.
func (i *Issuer) settle(b *bucket) {
	added := b.limit.PerSecond*(i.issuing-b.issuing) + startCredit*(i.starts-b.starts)
	b.issuing, b.starts = i.issuing, i.starts
	b.tokens = min(b.capacity(i.share), b.tokens+added)
}

// after returns the most that a bucket may hold at the end of a generation, or now if it is the
// current one, by that at its start.
func (i *Issuer) after(b *bucket, content float64, g, current int64) float64 {
	from, to := i.marks[g%marksKept], mark{issuing: i.issuing, starts: i.starts}
	if g < current {
		to = i.marks[(g+1)%marksKept]
	}
	added := b.limit.PerSecond*(to.issuing-from.issuing) + startCredit*(to.starts-from.starts)
	lent := from.share * (lentCredit + b.limit.PerSecond*lentTime.Seconds())
	return min(b.capacity(from.share)+lent, content+added-float64(b.net[g%generations]))
}

// bound returns the most that a bucket may hold by the credit issued in the last generations.
func (i *Issuer) bound(b *bucket, current int64) float64 {
	content := b.base
	for g := b.first; g <= current; g++ {
		content = i.after(b, content, g, current)
	}
	return content
}

// shift moves the base of a bucket, so that no more generations than are kept follow it.
func (i *Issuer) shift(b *bucket, current int64) {
	for ; b.first <= current-generations; b.first++ {
		b.base = i.after(b, b.base, b.first, current)
		b.net[b.first%generations] = 0
	}
}

// rebase sets the content of a bucket. What was issued before can't be returned any more.
func (i *Issuer) rebase(b *bucket, content float64) {
	b.tokens, b.issuing, b.starts = content, i.issuing, i.starts
	b.net, b.first = [generations]int32{}, generation(i.at)
	from := i.marks[b.first%marksKept]
	b.base = content - b.limit.PerSecond*(i.issuing-from.issuing) - startCredit*(i.starts-from.starts)
}

// addBuckets adds empty buckets for the accounts that have none.
func (i *Issuer) addBuckets() {
	if i.buckets == nil {
		i.buckets = make(map[AccountID]*bucket, len(i.limits))
	}
	for id, limit := range i.limits {
		if i.buckets[id] == nil {
			b := &bucket{limit: limit}
			i.rebase(b, 0)
			i.buckets[id] = b
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
	current := generation(now)
	for g := max(generation(i.at), current-marksKept) + 1; g <= current; g++ {
		if g >= i.shifted+generations {
			for _, b := range i.buckets {
				i.shift(b, g-1)
			}
			i.shifted = g
		}
		i.marks[g%marksKept] = mark{share: i.share, starts: i.starts, issuing: i.issuing + i.share*(time.Duration(g)*generationTime-i.at).Seconds()}
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

// updateShare sets the share by the number of followers. When it becomes smaller, so do the contents of
// all buckets.
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
	case before <= 0:
		i.marks[generation(i.at)%marksKept] = mark{issuing: i.issuing, starts: i.starts, share: i.share}
		i.addBuckets()
	case i.share > before:
		m := &i.marks[generation(i.at)%marksKept]
		m.share = max(m.share, i.share)
	case i.share < before:
		for _, b := range i.buckets {
			i.settle(b)
		}
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
