package cost

import (
	"math"
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxSentParts bounds the record of parts sent to servers; at about 130 bytes each they take 2 MB.
	maxSentParts = 1 << 14
	// maxUses bounds the record of the parts of all servers.
	maxUses = 1 << 12
	// cacheLifetime is the time since its last use after which two thirds of the parts are taken to be evicted.
	cacheLifetime = time.Minute
	// useSpan is the time in which the uses of a part are counted.
	useSpan = 10 * time.Second
)

// use counts how often this node has sent a part, with a weight that falls with the age.
type use struct {
	count float64
	at    time.Time
}

func (u *use) decayed(now time.Time) float64 {
	return u.count * math.Exp(-float64(now.Sub(u.at))/float64(useSpan))
}

// parts records which prompt parts were sent to which server, the most recent ones.
type parts struct {
	sent *simplelru.LRU[uint64, time.Time] // by server and part
	uses *simplelru.LRU[uint64, *use]      // by part
}

func newParts() *parts {
	sent, err := simplelru.NewLRU[uint64, time.Time](maxSentParts, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	uses, err := simplelru.NewLRU[uint64, *use](maxUses, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &parts{sent: sent, uses: uses}
}

// Mix combines two hashes to one whose bits all depend on both (the finalizer of splitmix64).
func Mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// record notes that the parts of a request were sent to a server.
func (p *parts) record(now time.Time, server uint64, r *Request) {
	for _, part := range r.shared() {
		p.sent.Add(Mix(server, part.ID), now)
		u, ok := p.uses.Get(part.ID)
		if !ok {
			u = &use{}
			p.uses.Add(part.ID, u)
		}
		u.count, u.at = u.decayed(now)+1, now
	}
}

// seen reports whether this node has sent a part to any server.
func (p *parts) seen(part uint64) bool { return p.uses.Contains(part) }

// cached returns the probability that a server has a part cached that was sent to it.
func (p *parts) cached(now time.Time, server, part uint64) float64 {
	at, ok := p.sent.Peek(Mix(server, part))
	if !ok {
		return 0
	}
	return math.Exp(-float64(now.Sub(at)) / float64(cacheLifetime))
}

// spreadChance returns the probability that another node has lately sent a part to a given server, if it is sent to all servers
// alike. The nodes are taken to send it as often as this one.
func (p *parts) spreadChance(now time.Time, part uint64, nodesPerServer float64) float64 {
	u, ok := p.uses.Peek(part)
	if !ok {
		return 0
	}
	return -math.Expm1(-u.decayed(now) * nodesPerServer)
}
