package member

import (
	"net/netip"

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

// ServerChanged tells the packages of a node that a backend server appeared or changed.
type ServerChanged struct {
	event.Internal
	Server Server
}

// ServerGone tells the packages of a node that a backend server is no longer listed.
type ServerGone struct {
	event.Internal
	Server id.Server
}
