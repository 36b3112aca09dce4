package store

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

// TestMalformedResponse guards against bytes that are no response and count as the outcome of a write.
func TestMalformedResponse(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer(begin + "ETag: \"4\"\r\nContent-Length: 0\r\n\r\n"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events, _ := startClientAt(t, server.Addr())
			client.Do(event.PlatformCall{Op: event.OpPut, Name: "a", Version: 3, Value: []byte("v")})
			NewWithT(t).Expect(receiveNext[event.PlatformResult](t, events).Code).To(Equal(event.CodeUnknown))
		})
	}
}
