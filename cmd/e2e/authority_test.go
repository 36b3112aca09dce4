package e2e_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// tlsFiles are the settings for mutual TLS between nodes: the paths of PEM files.
type tlsFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// authority is the certificate authority of the nodes.
type authority struct {
	d    *deployment
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// newAuthority creates a certificate authority and writes its self-signed certificate to a file.
func newAuthority(d *deployment, name string) *authority {
	d.t.Helper()
	a := &authority{d: d}
	a.cert, a.key = certTemplate(d, name), newKey(d)
	a.cert.IsCA, a.cert.BasicConstraintsValid, a.cert.KeyUsage = true, true, x509.KeyUsageCertSign
	raw := a.sign(a.cert, a.key)
	block, _ := pem.Decode(raw)
	parsed, err := x509.ParseCertificate(block.Bytes)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	a.cert, a.file = parsed, d.writeFile(name+".pem", raw)
	return a
}

func newKey(d *deployment) *ecdsa.PrivateKey {
	d.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	return key
}

func certTemplate(d *deployment, name string) *x509.Certificate {
	d.t.Helper()
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

func (a *authority) sign(cert *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	a.d.t.Helper()
	raw, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	NewWithT(a.d.t).Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
}

// issue creates the certificate and the key of a node and writes them to files.
func (a *authority) issue(name string) *tlsFiles {
	a.d.t.Helper()
	cert, key := certTemplate(a.d, name), newKey(a.d)
	cert.DNSNames = []string{name}
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.MarshalECPrivateKey(key)
	NewWithT(a.d.t).Expect(err).NotTo(HaveOccurred())
	return &tlsFiles{
		Certificate: a.d.writeFile(name+"-cert.pem", a.sign(cert, key)),
		Key:         a.d.writeFile(name+"-key.pem", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})),
		CA:          a.file,
	}
}

// testPeerAuthentication checks that a node rejects peer connections without a certificate of the deployment's authority.
func testPeerAuthentication(t *testing.T, d *deployment) {
	g := NewWithT(t)
	p := d.nodes[0]
	dial := func(files *tlsFiles) error {
		config := &tls.Config{ServerName: string(p.Name), RootCAs: x509.NewCertPool()}
		config.RootCAs.AddCert(d.authority.cert)
		if files != nil {
			pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
			g.Expect(err).NotTo(HaveOccurred())
			config.Certificates = []tls.Certificate{pair}
		}
		conn, err := tls.Dial("tcp", p.Peer.String(), config)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		// In TLS 1.3 the client learns with its first read whether the server accepted its certificate.
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err = conn.Read(make([]byte, 1))
		return err
	}
	g.Expect(dial(nil)).To(MatchError(ContainSubstring("certificate required")))
	g.Expect(dial(newAuthority(d, "other").issue("stranger"))).To(MatchError(ContainSubstring("tls:")))
	r, err := d.report(p)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Nodes).To(HaveLen(len(d.nodes)))
	g.Expect(r.Silent).To(BeEmpty(), "nodes get no responses from each other over TLS")
}
