package cost

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

const (
	// firstGain and eventGain are the weights of a measurement in the slowness of a server. The time to the first event depends
	// on what was waiting there, the time between events hardly does.
	firstGain = 0.1
	eventGain = 0.3
	// minEvents is how many events a response needs for a measurement of the time between them.
	minEvents = 3
	// maxExcess bounds a measurement as a multiple of the expected time, because callers that read slowly delay streams too.
	maxExcess = 4
)

// Estimate is the expected cost of a request at a server.
type Estimate struct {
	First  time.Duration // from the send to the first event
	End    time.Duration // from the send to the end of the response
	Late   time.Duration // mean deviation of End
	Read   time.Duration // time to read what is not cached of the prompt
	Again  time.Duration // part of Read that is for shared parts that another server has cached
	Delay  time.Duration // sum of the delays of the requests that are already there
	Beside float64       // requests that are already there
	Unread float64       // prompt tokens that are not cached
	Reread float64       // tokens of Unread in shared parts that another server has cached
	ahead  float64       // prompt tokens of other requests that are read before
	queued bool          // all slots are in use
}

// String formats the estimate for the log.
func (e Estimate) String() string {
	return fmt.Sprintf("first=%s end=%s unread=%.0f again=%s delay=%s beside=%.1f", e.First.Round(time.Millisecond), e.End.Round(time.Millisecond),
		e.Unread, e.Again.Round(time.Millisecond), e.Delay.Round(time.Millisecond), e.Beside)
}

// Model estimates costs on one node. The zero Model is not usable.
type Model struct {
	servers map[id.Server]*server
	pools   map[id.Pool]*pool
	outputs *outputs
	parts   *parts
	nodes   int
	sizedAt time.Time // when the last request was sent
}

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{servers: map[id.Server]*server{}, pools: map[id.Pool]*pool{}, outputs: newOutputs(), parts: newParts(), nodes: 1}
}

// SetNodes sets the number of nodes that send requests.
func (m *Model) SetNodes(count int) { m.nodes = max(1, count) }

// Forget drops what is known of a server, whose process has ended.
func (m *Model) Forget(name id.Server) { delete(m.servers, name) }

func (m *Model) server(s *fleet.Server) *server {
	known, ok := m.servers[s.ID]
	if !ok {
		known = &server{Server: s, hash: Mix(xxhash.Sum64String(string(s.ID)), xxhash.Sum64String(string(s.Start)))}
		m.servers[s.ID] = known
	}
	return known
}

func (m *Model) pool(name id.Pool) *pool {
	p, ok := m.pools[name]
	if !ok {
		p = newPool()
		m.pools[name] = p
	}
	return p
}

// Place is a server that a request may be sent to.
type Place struct {
	*fleet.Server
	Home    bool // the first usable server in the order of the request's shared part
	Servers int  // in the pool
}

// Estimate returns the expected cost of a request at a server.
func (m *Model) Estimate(now time.Time, at Place, r *Request) Estimate {
	s, p := m.server(at.Server), m.pool(at.Pool)
	slots := s.slots()
	work := s.work(now, p)
	slow := s.slowdown(now)
	cached := m.cachedTokens(now, s, at, r)
	events, deviation := m.outputs.expect(r)
	e := Estimate{Beside: work.Requests, Unread: r.tokens() - cached, ahead: p.tokensIn(work.Read)}
	if m.cachedSomewhere(r) {
		e.Reread = r.sharedTokens() - cached
	}
	e.Read = scale(p.readTime(e.Unread), slow)
	e.Again = scale(p.readTime(e.Reread), slow)
	e.First = scale(time.Duration(p.read.base)+work.Read, slow) + e.Read
	if excess := work.Requests + 1 - float64(slots); excess > 0 {
		e.queued = true
		left := scale(work.Write, 1/max(1, work.Requests)) // time until a request that is there ends
		e.First += scale(left, slow*excess/float64(slots))
	}
	event := scale(p.eventTime(work.Requests), slow)
	e.End = e.First + scale(event, events)
	e.Late = scale(event, deviation)
	e.Delay = scale(e.Read, work.Requests) + scale(time.Duration(p.event.slope), slow*events*work.Requests)
	return e
}

// cachedSomewhere reports whether some server probably has the shared part of a request cached. If the prompt has only one part,
// other requests may not share it, so that it counts only if this node has sent it before.
func (m *Model) cachedSomewhere(r *Request) bool { return !r.Single || m.parts.seen(r.Home()) }

// cachedTokens returns how many prompt tokens a server probably has cached. A cached part is used only together with all parts
// before it.
func (m *Model) cachedTokens(now time.Time, s *server, at Place, r *Request) float64 {
	shared := r.shared()
	home := at.Home && !at.Cold(now) && m.cachedSomewhere(r)
	tokens, chance := 0.0, 1.0
	for i, part := range shared {
		if !home {
			here := m.parts.cached(now, s.hash, part.ID)
			if i < len(shared)-1 {
				here = max(here, m.parts.spreadChance(now, part.ID, float64(m.nodes)/float64(max(1, at.Servers))))
			}
			chance *= here
		}
		tokens += chance * float64(max(0, part.Tokens))
	}
	return tokens
}

// Start records that a request is sent to a server.
func (m *Model) Start(now time.Time, at Place, r *Request) {
	s := m.server(at.Server)
	a := &attempt{Request: *r, sent: now, expected: m.Estimate(now, at, r)}
	a.Shared = nil // saves memory while the request runs
	a.events, a.deviation = m.outputs.expect(r)
	s.attempts = append(s.attempts, a)
	m.parts.record(now, s.hash, r)
	m.sizedAt = now
}

// LastSized returns when the last request of known size was sent, zero for never.
func (m *Model) LastSized() time.Time { return m.sizedAt }

// find returns the attempt that was sent to a server at the given time, nil if there is none.
func (m *Model) find(name id.Server, sent time.Time) (*server, *attempt) {
	s, ok := m.servers[name]
	if !ok {
		return nil, nil
	}
	i := slices.IndexFunc(s.attempts, func(a *attempt) bool { return a.sent.Equal(sent) })
	if i < 0 {
		return nil, nil
	}
	return s, s.attempts[i]
}

// Report records the load that a server has reported.
func (m *Model) Report(now time.Time, name id.Server, load selfreport.Load) {
	s, ok := m.servers[name]
	if !ok {
		return
	}
	s.load, s.loadAt, s.loadOwn = load, now, len(s.attempts)
	m.pool(s.Pool).others.add(s.reportedOthers())
}

// Began records the first event of the response to the request that was sent to a server at the given time.
func (m *Model) Began(now time.Time, name id.Server, sent time.Time) {
	s, a := m.find(name, sent)
	if a == nil || !a.began.IsZero() {
		return
	}
	p := m.pool(s.Pool)
	a.began, a.others = now, max(0, s.work(now, p).Requests-1)
	if a.expected.queued {
		return
	}
	took := now.Sub(sent)
	tokens := a.expected.ahead + a.expected.Unread
	expected := time.Duration(p.read.at(tokens))
	s.measureSlowness(now, took, scale(expected, s.load.Slowdown(now.Sub(s.loadAt))), firstGain)
	p.read.add(point{tokens, min(float64(took), maxExcess*float64(expected))})
}

// End records the end of the request that was sent to a server at the given time. The number of events is 0 if the response was not
// complete or not a stream.
func (m *Model) End(now time.Time, name id.Server, sent time.Time, events int) {
	s, a := m.find(name, sent)
	if a == nil {
		return
	}
	p := m.pool(s.Pool)
	s.attempts = slices.DeleteFunc(s.attempts, func(o *attempt) bool { return o == a })
	if events == 0 || a.began.IsZero() {
		return
	}
	m.outputs.observe(&a.Request, events)
	p.durations.add(float64(now.Sub(a.sent)))
	if events < minEvents {
		return
	}
	took := now.Sub(a.began) / time.Duration(events-1)
	expected := p.eventTime(a.others)
	s.measureSlowness(now, took, expected, eventGain)
	p.event.add(point{a.others, min(float64(took), maxExcess*float64(expected))})
}

// Work returns the work of this node's attempts at each server that has any.
func (m *Model) Work(now time.Time) map[id.Server]Work {
	out := map[id.Server]Work{}
	for name, s := range m.servers {
		if len(s.attempts) > 0 {
			out[name] = s.own(now, m.pool(s.Pool))
		}
	}
	return out
}

// SetRemote records the work of the other nodes at a server, as it was at the given time, if the pool gets requests of known size.
func (m *Model) SetRemote(at time.Time, server *fleet.Server, w Work) {
	if _, used := m.pools[server.Pool]; !used {
		return
	}
	s := m.server(server)
	s.remote, s.remoteAt = w, at
}
