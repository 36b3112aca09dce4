package mesh

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"expvar"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits how long a test waits for something that must happen; no assertion relies on a shorter time.
const testTimeout = 10 * time.Second

type textMessage struct {
	Text string `protobuf:"bytes,1,opt,name=text"`
}

func (m textMessage) Check() error {
	if m.Text == "" {
		return errors.New("no text")
	}
	return nil
}

func newCodec() *wire.Codec { return wire.New(map[uint32]event.Body{1: textMessage{}}) }

// testNode is a node and the events that its mesh delivered.
type testNode struct {
	mesh   *Mesh
	addr   netip.AddrPort
	events chan event.Event
	vars   *expvar.Map
	stop   func()
}

// addressBook holds the addresses of a test's nodes.
type addressBook struct {
	mu    sync.Mutex
	addrs map[id.Node]netip.AddrPort
}

func (b *addressBook) resolve(name id.Node) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addrs[name]
	return addr, ok
}

func startNode(t testing.TB, b *addressBook, name id.Node, incarnation int, opts ...Option) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &testNode{
		addr: netip.MustParseAddrPort(listener.Addr().String()), events: make(chan event.Event, 10000), vars: new(expvar.Map),
	}
	self := event.Self{Node: name, Incarnation: id.Incarnation(fmt.Sprintf("%032x", incarnation)), Addr: m.addr}
	timing := DefaultTiming()
	timing.Backoff, timing.MaxQueueTime, timing.Dial = time.Millisecond, testTimeout, testTimeout
	opts = append([]Option{WithVars(m.vars), WithTiming(timing)}, opts...)
	m.mesh = New(self, newCodec(), b.resolve, func(ev event.Event) { m.events <- ev }, opts...)
	m.mesh.SetListener(listener)
	b.mu.Lock()
	b.addrs[name] = m.addr
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = m.mesh.Run(ctx) })
	m.stop = func() { cancel(); running.Wait() }
	t.Cleanup(m.stop)
	return m
}

func newAddressBook() *addressBook { return &addressBook{addrs: map[id.Node]netip.AddrPort{}} }

// receiveNext returns the next event of type T and discards others.
func receiveNext[T event.Event](t testing.TB, events <-chan event.Event) T {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case ev := <-events:
			if got, ok := ev.(T); ok {
				return got
			}
		case <-timeout:
			var want T
			t.Fatalf("no event of type %T", want)
		}
	}
}

func (m *testNode) send(to id.Node, text string) {
	m.mesh.Send(event.Send{To: to, Body: textMessage{Text: text}}, 5, 6)
}

// TestSend guards against messages, small or large, that arrive modified or with the wrong sender.
func TestSend(t *testing.T) {
	for name, size := range map[string]int{"control": 10, "bulk": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook()
			a, z := startNode(t, b, "a", 1), startNode(t, b, "z", 2)
			text := strings.Repeat("x", size)
			a.send("z", text)
			g := NewWithT(t)
			g.Expect(receiveNext[event.PeerLink](t, z.events)).To(Equal(event.PeerLink{Peer: "a", Up: true}))
			want := event.Receive{From: "a", Incarnation: a.mesh.self.Incarnation, Revision: 5, Domains: 6, Body: textMessage{Text: text}}
			g.Expect(receiveNext[event.Receive](t, z.events)).To(Equal(want))
			z.send("a", "back")
			g.Expect(receiveNext[event.Receive](t, a.events).From).To(Equal(id.Node("z")))
			g.Expect(a.mesh.SessionCount()).To(Equal(1))
			a.mesh.Flush(context.Background())
		})
	}
}

// TestSimultaneousDials guards against two sessions, or a session that only one node keeps and that looks like a failed
// link, when both nodes dial at once.
func TestSimultaneousDials(t *testing.T) {
	for round := range 10 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			b := newAddressBook()
			a, z := startNode(t, b, "a", 1), startNode(t, b, "z", 2)
			var both sync.WaitGroup
			both.Go(func() { a.send("z", "1") })
			both.Go(func() { z.send("a", "2") })
			both.Wait()
			receiveNext[event.Receive](t, a.events)
			receiveNext[event.Receive](t, z.events)
			g := NewWithT(t)
			g.Eventually(a.mesh.SessionCount, testTimeout).Should(Equal(1))
			g.Eventually(z.mesh.SessionCount, testTimeout).Should(Equal(1))
			g.Eventually(func() bool { return a.sessionDialer("z") == z.sessionDialer("a") }, testTimeout).Should(BeTrue())
		})
	}
}

func (m *testNode) sessionDialer(name id.Node) id.Node {
	m.mesh.mu.Lock()
	defer m.mesh.mu.Unlock()
	if p := m.mesh.peers[name]; p != nil && p.session != nil {
		return p.session.dialer()
	}
	return ""
}

// TestReconnect guards against a peer that stays unreachable after its process is replaced.
func TestReconnect(t *testing.T) {
	b := newAddressBook()
	a, z := startNode(t, b, "a", 1), startNode(t, b, "z", 2)
	a.send("z", "first")
	receiveNext[event.Receive](t, z.events)
	z.stop()
	g := NewWithT(t)
	g.Expect(receiveNext[event.PeerLink](t, a.events).Up).To(BeTrue())
	g.Expect(receiveNext[event.PeerLink](t, a.events).Up).To(BeFalse())
	restarted := startNode(t, b, "z", 3)
	g.Eventually(func() int { a.send("z", "second"); return len(restarted.events) }, testTimeout).Should(BeNumerically(">", 0))
	g.Expect(receiveNext[event.Receive](t, restarted.events).Body).To(Equal(textMessage{Text: "second"}))
}

// TestDroppedMessages guards against unbounded queues and dropped messages that are not counted.
func TestDroppedMessages(t *testing.T) {
	b := newAddressBook()
	a := startNode(t, b, "a", 1)
	for range controlQueueSize + 3 {
		a.send("nobody", "x")
	}
	a.send("a", "to itself")
	a.mesh.Send(event.Send{To: "nobody", Body: unregisteredMessage{}}, 0, 0)
	g := NewWithT(t)
	g.Expect(a.vars.Get("peer_dropped_full").String()).To(Equal("3"))
	g.Expect(a.vars.Get("peer_dropped_self").String()).To(Equal("1"))
	g.Expect(a.vars.Get("peer_dropped_encode").String()).To(Equal("1"))
}

// TestRejectedMessage guards against sending a message that its receiver rejects, which ends the session and with it all other messages.
func TestRejectedMessage(t *testing.T) {
	b := newAddressBook()
	a, other := startNode(t, b, "a", 1), startNode(t, b, "b", 1)
	a.send("b", "first")
	receiveNext[event.Receive](t, other.events)
	a.mesh.Send(event.Send{To: "b", Body: textMessage{}}, 0, 0)
	a.send("b", "second")
	g := NewWithT(t)
	g.Expect(receiveNext[event.Receive](t, other.events).Body).To(Equal(textMessage{Text: "second"}))
	g.Expect(a.vars.Get("peer_dropped_check").String()).To(Equal("1"))
	g.Expect(other.vars.Get("peer_sessions_failed")).To(BeNil())
}

type unregisteredMessage struct{}

func (unregisteredMessage) Check() error { return nil }

// TestMalformedInput guards against malformed or impersonating input that does not end its session, or that affects
// other sessions.
func TestMalformedInput(t *testing.T) {
	b := newAddressBook()
	errs := make(chan error, 1000)
	a := startNode(t, b, "a", 1, WithErrorHandler(func(err error) { errs <- err }))
	good := startNode(t, b, "good", 2)
	evil := event.Self{Node: "evil", Incarnation: id.Incarnation(fmt.Sprintf("%032x", 3))}
	envelope := func(from id.Node) []byte {
		raw, err := newCodec().Encode(wire.Envelope{From: from, Incarnation: evil.Incarnation}, textMessage{Text: "x"})
		if err != nil {
			t.Fatal(err)
		}
		return frame(raw)
	}
	cases := map[string]struct {
		hello hello
		bytes []byte
		want  string
	}{
		"empty name":     {hello{Incarnation: evil.Incarnation}, nil, "node name"},
		"incarnation":    {hello{Node: "evil", Incarnation: "x"}, nil, "incarnation"},
		"own name":       {hello{Node: "a", Incarnation: evil.Incarnation}, nil, "claims the name"},
		"unknown stream": {hello{Node: "evil", Incarnation: evil.Incarnation, StreamKind: 9}, nil, "unknown stream kind"},
		"huge frame":     {hello{Node: "evil", Incarnation: evil.Incarnation}, []byte{0xff, 0xff, 0xff, 0xff}, "limit"},
		"empty frame":    {hello{Node: "evil", Incarnation: evil.Incarnation}, []byte{0, 0, 0, 0}, "empty frame"},
		"garbage":        {hello{Node: "evil", Incarnation: evil.Incarnation}, frame([]byte("garbage")), "decode"},
		"other's name":   {hello{Node: "evil", Incarnation: evil.Incarnation}, envelope("good"), "in the session of evil"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", a.addr.String())
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			mux, err := good.mesh.newMux(conn, true)
			g.Expect(err).NotTo(HaveOccurred())
			defer mux.Close()
			stream, err := mux.Open()
			g.Expect(err).NotTo(HaveOccurred())
			first, err := encodeHello(c.hello)
			g.Expect(err).NotTo(HaveOccurred())
			// The node may close the session before Write returns; the reported error is checked below.
			if _, err = stream.Write(append(first, c.bytes...)); !errors.Is(err, yamux.ErrSessionShutdown) {
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Eventually(mux.CloseChan(), testTimeout).Should(BeClosed(), "the session with malformed input is closed")
			g.Eventually(errs, testTimeout).Should(Receive(MatchError(ContainSubstring(c.want))))
		})
	}
	good.send("a", "still here")
	NewWithT(t).Expect(receiveNext[event.Receive](t, a.events).From).To(Equal(id.Node("good")))
}

// writeCertificates writes a CA and a certificate for each name, and returns the file paths for each name.
func writeCertificates(t *testing.T, names ...string) []TLSFiles {
	t.Helper()
	dir := t.TempDir()
	write := func(name, kind string, raw []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	issue := func(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, []byte) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		if signer == nil {
			signer = key
		}
		raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
		if err != nil {
			t.Fatal(err)
		}
		return key, raw
	}
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caKey, caRaw := issue(ca, ca, nil)
	caPath := write("ca.pem", "CERTIFICATE", caRaw)
	var out []TLSFiles
	for i, name := range names {
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 2)), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
			KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		}
		key, raw := issue(leaf, ca, caKey)
		der, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, TLSFiles{
			Certificate: write(fmt.Sprint(i, ".pem"), "CERTIFICATE", raw), Key: write(fmt.Sprint(i, ".key"), "EC PRIVATE KEY", der), CA: caPath,
		})
	}
	return out
}

// TestTLS guards against a node that joins the mesh without a certificate or with another node's certificate.
func TestTLS(t *testing.T) {
	b := newAddressBook()
	g := NewWithT(t)
	var secure []Option
	for _, files := range writeCertificates(t, "a", "z", "other") {
		config, err := LoadTLS(files)
		g.Expect(err).NotTo(HaveOccurred())
		secure = append(secure, WithTLS(config))
	}
	errs := make(chan error, 1000)
	a := startNode(t, b, "a", 1, secure[0], WithErrorHandler(func(err error) { errs <- err }))
	z := startNode(t, b, "z", 2, secure[1])
	a.send("z", "secret")
	g.Expect(receiveNext[event.Receive](t, z.events).Body).To(Equal(textMessage{Text: "secret"}))
	impersonator := startNode(t, b, "fake", 3, secure[2])
	impersonator.send("a", "lie")
	g.Eventually(errs, testTimeout).Should(Receive(MatchError(ContainSubstring("not fake"))))
	plain := startNode(t, b, "plain", 4)
	plain.send("a", "lie")
	g.Eventually(errs, testTimeout).Should(Receive(MatchError(ContainSubstring("TLS"))))
	g.Expect(a.mesh.SessionCount()).To(Equal(1))
	_, err := LoadTLS(TLSFiles{Certificate: "missing"})
	g.Expect(err).To(MatchError(ContainSubstring("load certificate")))
}

// FuzzFrame guards against arbitrary input that causes a panic or a frame larger than the limit.
func FuzzFrame(f *testing.F) {
	first, err := encodeHello(hello{Node: "a", Incarnation: id.Incarnation(fmt.Sprintf("%032x", 1))})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(first)
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := readFrame(strings.NewReader(string(raw)), maxHelloBytes)
		if err != nil {
			return
		}
		if len(got) > maxHelloBytes {
			t.Fatalf("frame of %d bytes exceeds the limit", len(got))
		}
		if h, err := decodeHello(got); err == nil && h.check() != nil {
			t.Fatal("decodeHello accepted an invalid hello")
		}
	})
}

// BenchmarkRoundTrip measures a message to a peer and its reply.
func BenchmarkRoundTrip(b *testing.B) {
	addrs := newAddressBook()
	a, z := startNode(b, addrs, "a", 1), startNode(b, addrs, "z", 2)
	a.send("z", "x")
	receiveNext[event.Receive](b, z.events)
	b.ReportAllocs()
	for b.Loop() {
		a.send("z", "ping")
		receiveNext[event.Receive](b, z.events)
		z.send("a", "pong")
		receiveNext[event.Receive](b, a.events)
	}
}
