package id

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
)

type (
	// Node is the name of a bluebellflow process on an entry VM.
	Node string
	// Incarnation identifies one start of a node's process: 128 random bits in hex, never reused.
	Incarnation string
	// Request identifies a caller's request.
	Request string
	// Attempt identifies one dispatch of a stage to a backend server; it is unique within an incarnation.
	Attempt uint64
	// Server is the name of a backend server.
	Server string
	// Start identifies one start of a backend server's process, as the server reports it.
	Start string
	// FailureDomain is the name of a set of VMs that may fail together.
	FailureDomain string
	// Region is the name of a set of failure domains.
	Region string
	// Workspace is the name of a customer's part of the settings tree.
	Workspace string
	// Pipeline is the name of a sequence of stages.
	Pipeline string
	// Pool is the name of a set of backend servers that do the same work.
	Pool string
	// Version is the version of the software or model that a backend server runs.
	Version string
	// Revision numbers the accepted configurations in ascending order.
	Revision uint64
	// Fingerprint identifies the content of a request: workspace, pipeline and body.
	Fingerprint uint64
)

// incarnationBytes is the length of an incarnation: 128 random bits make a collision of two starts negligible.
const incarnationBytes = 16

// NewIncarnation returns a random incarnation from the given source.
func NewIncarnation(rng *rand.Rand) Incarnation {
	var raw [incarnationBytes]byte
	for i := range raw {
		raw[i] = byte(rng.Uint32())
	}
	return Incarnation(hex.EncodeToString(raw[:]))
}

// Check returns an error if the incarnation is malformed.
func (i Incarnation) Check() error {
	raw, err := hex.DecodeString(string(i))
	if err != nil || len(raw) != incarnationBytes {
		return fmt.Errorf("incarnation %q: want %d hex digits", string(i), 2*incarnationBytes)
	}
	return nil
}

// Bucket maps the fingerprint to a number below n. The numbers are uniformly distributed and equal on all nodes; those of
// different salts are independent of each other.
func (f Fingerprint) Bucket(salt, n uint64) uint64 {
	x := uint64(f) ^ salt // finalizer of splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) % n
}
