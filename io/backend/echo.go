package backend

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
)

// attemptHeader names in a response the attempt to which it belongs.
const attemptHeader = "Bluebellflow-Attempt"

// errUnnamed means that a response on a kept connection may be a late copy of an earlier one.
var errUnnamed = errors.New("response that does not name its attempt")

// echoes holds the servers that name in their responses the attempts to which these belong. The zero value is empty.
type echoes struct {
	mu      sync.Mutex
	servers map[netip.AddrPort]struct{}
}

// check returns an error unless a response of a server belongs to an attempt. On a kept connection, a response that names none
// counts only if the server has never named one.
func (e *echoes) check(server netip.AddrPort, attempt string, h http.Header, reused bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.servers[server]
	switch named := h.Get(attemptHeader); {
	case named == attempt:
		if e.servers == nil {
			e.servers = map[netip.AddrPort]struct{}{}
		}
		e.servers[server] = struct{}{}
	case named != "":
		return fmt.Errorf("response to attempt %.80q", named)
	case known && reused:
		return errUnnamed
	}
	return nil
}
