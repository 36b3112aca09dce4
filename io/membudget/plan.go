package membudget

import "syscall"

const (
	// ConnBytes is what a caller's connection takes in memory without a body: two goroutines, two buffers of 4 KiB and the
	// headers of an ordinary request.
	ConnBytes = 24 << 10
	// FileDescriptors is the number of descriptors that a VM reserves for files.
	FileDescriptors = 200
	// callerShare and responseShare are the shares of the memory for callers' requests and for servers' responses. The rest is
	// for the process itself and for the garbage between two collections.
	callerShare, responseShare = 0.28, 0.125
	// callerConnShare and otherConnShare are the shares of the descriptors for the connections of callers, and for those at
	// each other address at which the process listens. As many as for callers have to remain for connections to servers.
	callerConnShare, otherConnShare = 0.4, 0.05
	megabyte                        = 1 << 20
)

// Plan holds the shares of a VM's memory and descriptors for the parts of a process.
type Plan struct {
	// Callers is the memory in bytes for requests, without the memory of their connections.
	Callers int64
	// Responses is the memory in bytes for the responses of servers.
	Responses int64
	// CallerConns is the number of connections of callers, and OtherConns that at each other address.
	CallerConns, OtherConns int
}

// Divide returns the plan for a VM with megabytes of memory and a number of descriptors. Connections take at most about half of
// the memory for callers; their memory is reserved, so that large requests do not prevent new connections.
func Divide(memoryMB, descriptors int) Plan {
	memory, conns := float64(memoryMB)*megabyte, float64(max(0, descriptors-FileDescriptors))
	callers := int64(callerShare * memory)
	p := Plan{Responses: int64(responseShare * memory)}
	p.CallerConns = max(1, min(int(callerConnShare*conns), int(callers/2/ConnBytes)))
	p.OtherConns = max(1, min(int(otherConnShare*conns), p.CallerConns/4))
	p.Callers = callers - int64(p.CallerConns)*ConnBytes
	return p
}

// Descriptors returns the number of descriptors that the process may open, at most limit.
func Descriptors(limit int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur > uint64(limit) {
		return limit
	}
	return int(r.Cur)
}
