package id

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
)

type (
	// Node names one bluebellflow process on an entry VM.
	Node string
	// Incarnation names one start of a process: 128 random bits in hex, never reused.
	Incarnation string
	// Request names one caller's request.
	Request string
	// Attempt names one dispatch of a stage; it is unique within an incarnation.
	Attempt uint64
	// Server names one backend server.
	Server string
	// Start names one start of a backend server, as the server itself reports it.
	Start string
	// FailureDomain names a set of VMs that fail together.
	FailureDomain string
	// Region names a set of failure domains.
	Region string
	// Workspace names a customer's part of the settings tree.
	Workspace string
	// Pipeline names a sequence of stages.
	Pipeline string
	// Pool names a set of backend servers that do the same work.
	Pool string
	// Version names a version of the software or model that a backend server runs.
	Version string
	// Revision counts accepted configurations.
	Revision uint64
	// Fingerprint identifies the content of a request: workspace, pipeline and body.
	Fingerprint uint64
)

// incarnationBytes is 128 bits, so that two starts never share an identity.
const incarnationBytes = 16

// NewIncarnation draws an incarnation from the given source.
func NewIncarnation(rng *rand.Rand) Incarnation {
	var raw [incarnationBytes]byte
	for i := range raw {
		raw[i] = byte(rng.Uint32())
	}
	return Incarnation(hex.EncodeToString(raw[:]))
}

// Check reports whether the incarnation is well formed.
func (i Incarnation) Check() error {
	raw, err := hex.DecodeString(string(i))
	if err != nil || len(raw) != incarnationBytes {
		return fmt.Errorf("incarnation %q: want %d hex digits", string(i), 2*incarnationBytes)
	}
	return nil
}

// Bucket returns a number below n for a fingerprint, evenly spread and the same on every node. Different salts give numbers
// that do not depend on each other.
func (f Fingerprint) Bucket(salt, n uint64) uint64 {
	x := uint64(f) ^ salt // the finalizer of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) % n
}
