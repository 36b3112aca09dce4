package cost

import (
	"math"
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"bluebellflow/core/id"
)

const (
	// maxOutputs bounds the groups of requests whose outputs are remembered; at about 150 bytes each they take 0.6 MB.
	maxOutputs = 4096
	// outputGain is the weight of a new measurement in a mean of many.
	outputGain = 0.05
	// minOutputs is how many measurements a group needs before it is used.
	minOutputs = 4
	// defaultEventTokens is the number of tokens in an event before the first measurement.
	defaultEventTokens = 10
	// defaultOutputShare is the share of the maximum tokens that a response has before the first measurement.
	defaultOutputShare = 0.5
	// anySize is the size class of the groups that contain all sizes.
	anySize = -1
)

// spread is a smoothed mean with its mean deviation. The first measurements have equal weights.
type spread struct {
	mean, deviation float64
	count           int
}

func (s *spread) add(x float64) {
	s.count++
	gain := max(outputGain, 1/float64(s.count))
	if s.count > 1 {
		s.deviation += gain * (math.Abs(x-s.mean) - s.deviation)
	}
	s.mean += gain * (x - s.mean)
}

// group is a set of requests whose outputs are similar. If workspace is empty, it contains those of all workspaces.
type group struct {
	route     string
	workspace id.Workspace
	size      int // class of the expected size: its base-2 logarithm
}

// outputs remembers how many events the responses to requests had.
type outputs struct {
	groups *simplelru.LRU[group, *spread]
}

func newOutputs() *outputs {
	groups, err := simplelru.NewLRU[group, *spread](maxOutputs, nil)
	if err != nil {
		panic(err) // the size is not positive
	}
	return &outputs{groups: groups}
}

// groupsOf returns the groups that a request belongs to, the narrowest first.
func groupsOf(r *Request) [3]group {
	size := bits.Len(uint(max(0, r.size())))
	return [3]group{{r.Route, r.Workspace, size}, {r.Route, "", size}, {r.Route, "", anySize}}
}

// observe records the number of events of a response.
func (o *outputs) observe(r *Request, events int) {
	for i, k := range groupsOf(r) {
		if i == 1 && r.Workspace == "" {
			continue // the same group as the narrowest one
		}
		s, ok := o.groups.Get(k)
		if !ok {
			s = &spread{}
			o.groups.Add(k, s)
		}
		s.add(float64(events))
	}
}

// expect returns the expected number of events of a response, and their mean deviation.
func (o *outputs) expect(r *Request) (events, deviation float64) {
	if !r.Stream {
		return 0, 0
	}
	for _, k := range groupsOf(r) {
		if s, ok := o.groups.Get(k); ok && s.count >= minOutputs {
			return s.mean, s.deviation
		}
	}
	tokens := float64(r.size())
	if r.Hint == 0 {
		tokens *= defaultOutputShare
	}
	events = max(1, tokens/defaultEventTokens)
	return events, events / 2
}
