package node_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/id"
	"bluebellflow/core/simulation"
)

// TestFailingVersion guards against a version that gets all requests although a portion of its responses have an error status,
// whichever it is.
func TestFailingVersion(t *testing.T) {
	for _, status := range []int{0, 400, 404, 502} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			s := newSystem(1)
			var servers []*simulation.Server
			for d := range domains {
				server := s.backends.Servers[id.Server(fmt.Sprintf("d%d-retriever-5", d))]
				server.ErrorRate, server.ErrorStatus = 0.6, status
				servers = append(servers, server)
			}
			s.rollOut("d1-n0")
			s.load(1500, 30*time.Millisecond)
			received := func() (sum int) {
				for _, server := range servers {
					sum += server.Received
				}
				return sum
			}
			before := received()
			NewWithT(t).Expect(before).To(BeNumerically(">", 0))
			s.load(300, 30*time.Millisecond)
			NewWithT(t).Expect(received()).To(Equal(before), "requests after the version was found to be bad")
		})
	}
}
