package backend

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

// TestMalformedResponse guards against bytes that are no response and count as the output of an attempt or the outcome of an order.
func TestMalformedResponse(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer(begin + "Content-Length: 2\r\n\r\nok"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events := startClient(t)
			client.Dispatch(newDispatch(server.Addr(), false))
			_, end := waitForEnd(t, events)
			NewWithT(t).Expect(end).To(HaveField("Kind", event.FailBroken))
			client.Order(event.Order{Server: "s1", Addr: server.Addr()})
			NewWithT(t).Expect(receiveNext[event.OrderResult](t, events).Code).To(Equal(event.CodeUnknown))
		})
	}
}
