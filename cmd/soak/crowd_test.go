package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// crowdSize is the number of callers that send an unfinished body of crowdBytes each.
const crowdSize, crowdBytes = 100, 900_000

// drawCrowd returns a fault in which callers outside the limits send unfinished requests to a node.
func drawCrowd(rng *rand.Rand, h *harness, span time.Duration) fault {
	n := h.nodes[rng.IntN(len(h.nodes))]
	stop, request := make(chan struct{}), fmt.Sprintf(
		"POST /lend/x HTTP/1.1\r\nHost: loans.example\r\nRequest-Id: crowd\r\nAuthorization: Bearer key-tunis\r\nContent-Length: %d\r\n\r\n%s",
		crowdBytes+1, strings.Repeat("x", crowdBytes))
	var callers sync.WaitGroup
	return fault{
		at: time.Duration(rng.Int64N(int64(span))), span: time.Second, name: "crowd at " + n.name,
		begin: func(*harness) {
			for range crowdSize {
				callers.Go(func() {
					conn, err := net.DialTimeout("tcp", n.callerAddr, time.Second)
					if err != nil {
						return // the node is down, or refuses the connection
					}
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(time.Now().Add(time.Second))
					_, _ = io.WriteString(conn, request)
					<-stop
				})
			}
		},
		end: func(*harness) {
			close(stop)
			callers.Wait()
		},
	}
}
