package member

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Server is one backend server as this node sees it.
type Server struct {
	ID            id.Server        `json:"id"`
	Pool          id.Pool          `json:"pool"`
	Version       id.Version       `json:"version"`
	FailureDomain id.FailureDomain `json:"domain"`
	Region        id.Region        `json:"region"`
	Addr          netip.AddrPort   `json:"addr"`
	Start         id.Start         `json:"start"` // empty until the server has reported
	Leaving       bool             `json:"leaving"`
}

// ServerChanged notifies the other packages of this node that a backend server appeared or changed.
type ServerChanged struct {
	event.Internal
	Server Server
}

// ServerRemoved notifies the other packages of this node that a backend server is no longer listed.
type ServerRemoved struct {
	event.Internal
	Server id.Server
}

// ServerObserved reports the state of a backend server as seen in one of its responses. Package route emits it.
type ServerObserved struct {
	event.Internal
	Server  id.Server
	Start   id.Start
	Leaving bool
}

const (
	// unlistedRetention is how long a server that is missing from the VM list is kept after its last load report.
	unlistedRetention = 5 * time.Second
	// maxOldStarts limits the earlier start identities that are kept for a server so that late responses can be ignored.
	maxOldStarts = 8
)

type server struct {
	Server
	listed      bool
	vmLeaving   bool
	flagApplied bool      // the leaving flag of the VM list has led to a marker
	reportedAt  time.Time // when the last load report arrived
	measuredAt  time.Time // At of the last load report, by the server's clock
	oldStarts   []id.Start
	published   Server // state in the last ServerChanged
}

// Server returns the published state of a backend server.
func (m *Members) Server(name id.Server) (Server, bool) {
	s, ok := m.servers[name]
	if !ok {
		return Server{}, false
	}
	return s.published, true
}

func (m *Members) listServers(now time.Time, vms []event.VM) []event.Action {
	for _, s := range m.servers {
		s.listed = false
	}
	var out []event.Action
	for _, vm := range vms {
		if vm.Kind != "backend" {
			continue
		}
		s, ok := m.servers[id.Server(vm.Name)]
		if !ok {
			s = &server{Server: Server{ID: id.Server(vm.Name), Version: vm.Version}}
			m.servers[s.ID] = s
		}
		s.listed = true
		s.Pool, s.FailureDomain, s.Region, s.Addr = vm.Pool, vm.FailureDomain, vm.Region, vm.Addr
		if s.Start == "" {
			s.Version = vm.Version // until the server reports its own
		}
		// The leaving flag marks the first start that is known while it is set. The list lags behind, so a later start of
		// the same name may be the replacement and gets no marker; it counts as leaving only while the flag is set.
		if vm.Leaving && !s.vmLeaving {
			s.flagApplied = false
		}
		s.vmLeaving = vm.Leaving
		if vm.Leaving && !s.flagApplied && s.Start != "" {
			s.flagApplied = true
			out = append(out, m.addMarkers(now, LeavingMarker{s.ID, s.Start})...)
		}
		out = append(out, m.publish(s)...)
	}
	return append(out, m.dropUnlisted(now)...)
}

// dropUnlisted removes the servers that are missing from the VM list and no longer report. It runs with each round of
// heartbeats and rarely finds any, so it sorts only the names of the servers that it removes.
func (m *Members) dropUnlisted(now time.Time) []event.Action {
	var removed []id.Server
	for name, s := range m.servers {
		if !s.listed && now.Sub(s.reportedAt) > unlistedRetention {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	var out []event.Action
	for _, name := range removed {
		delete(m.servers, name)
		out = append(out, ServerRemoved{Server: name})
	}
	return out
}

func (m *Members) handleReport(now time.Time, ev event.LoadReport) []event.Action {
	var out []event.Action
	if ev.Leaving && ev.Start != "" {
		out = m.addMarkers(now, LeavingMarker{ev.Server, ev.Start})
	}
	s, ok := m.servers[ev.Server]
	if !ok || ev.Start == "" || ev.At.Before(s.measuredAt) || slices.Contains(s.oldStarts, ev.Start) {
		return out
	}
	s.measuredAt, s.reportedAt = ev.At, now
	s.setStart(ev.Start)
	if ev.Version != "" {
		s.Version = ev.Version
	}
	return append(out, m.publish(s)...)
}

func (m *Members) handleObserved(now time.Time, ev ServerObserved) []event.Action {
	var out []event.Action
	if ev.Leaving && ev.Start != "" {
		out = m.addMarkers(now, LeavingMarker{ev.Server, ev.Start})
	}
	s, ok := m.servers[ev.Server]
	if !ok || ev.Start == "" {
		return out
	}
	if !slices.Contains(s.oldStarts, ev.Start) {
		s.setStart(ev.Start)
	}
	return append(out, m.publish(s)...)
}

func (s *server) setStart(start id.Start) {
	if s.Start == start {
		return
	}
	if s.Start != "" {
		s.oldStarts = append(s.oldStarts, s.Start)
		s.oldStarts = s.oldStarts[max(0, len(s.oldStarts)-maxOldStarts):]
	}
	s.Start = start
}

// publish emits ServerChanged if the server has changed since the last one.
func (m *Members) publish(s *server) []event.Action {
	_, marked := m.markers[LeavingMarker{s.ID, s.Start}]
	s.Leaving = marked || s.vmLeaving
	if s.published == s.Server {
		return nil
	}
	s.published = s.Server
	return []event.Action{ServerChanged{Server: s.Server}}
}

// addMarkers stores leaving markers and forwards new ones at once.
func (m *Members) addMarkers(now time.Time, markers ...LeavingMarker) []event.Action {
	var added []LeavingMarker
	var out []event.Action
	for _, k := range markers {
		if _, ok := m.markers[k]; ok {
			continue
		}
		m.markers[k] = now
		h := k.hash()
		m.markerBuckets[h%markerBucketCount] ^= h
		added = append(added, k)
		m.recentMarkers = append(m.recentMarkers, k)
		if s, ok := m.servers[k.Server]; ok {
			out = append(out, m.publish(s)...)
		}
	}
	if len(added) == 0 || m.noMarkers {
		return out
	}
	for _, name := range m.allTargets() {
		out = append(out, event.Send{To: name, Body: Update{Marks: added}})
	}
	return out
}

// markersDigest returns a digest of all markers.
func (m *Members) markersDigest() uint64 {
	var sum uint64
	for _, b := range m.markerBuckets {
		sum ^= b
	}
	return sum
}

// bucketBytes encodes the digests of the marker buckets for Query.Buckets.
func (m *Members) bucketBytes() []byte {
	var out []byte
	for _, sum := range m.markerBuckets {
		out = binary.LittleEndian.AppendUint64(out, sum)
	}
	return out
}

// differingMarkers returns the markers of the buckets whose digests differ from the peer's, at most maxMarkers.
func (m *Members) differingMarkers(peerDigests []byte) []LeavingMarker {
	var out []LeavingMarker
	for k := range m.markers {
		bucket := k.hash() % markerBucketCount
		if binary.LittleEndian.Uint64(peerDigests[bucket*digestBytes:]) != m.markerBuckets[bucket] && len(out) < maxMarkers {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b LeavingMarker) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
	})
	return out
}

// latestMarkers returns the markers learned within recentMarkerAge, the last maxRecentMarkers of them.
func (m *Members) latestMarkers(now time.Time) []LeavingMarker {
	if m.noMarkers {
		return nil
	}
	m.recentMarkers = slices.DeleteFunc(m.recentMarkers, func(k LeavingMarker) bool { return now.Sub(m.markers[k]) > recentMarkerAge })
	return slices.Clone(m.recentMarkers[max(0, len(m.recentMarkers)-maxRecentMarkers):])
}
