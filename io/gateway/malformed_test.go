package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

// TestMalformedAnswer guards against bytes that are no answer and reach a caller as one, and against what follows them on the
// connection.
func TestMalformedAnswer(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			body, ended, err := relay(t, begin+"Content-Length: 0\r\n\r\n"+plainHead+"Content-Length: 5\r\n\r\nother")
			NewWithT(t).Expect(ended.Fail).To(Equal(event.FailBroken), "%q, it may have run", body)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
