package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles are the paths of the PEM files for mutual TLS between nodes. The certificate names its node
// as a DNS name.
type TLSFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// LoadTLS reads the files and returns the configuration for WithTLS.
func LoadTLS(files TLSFiles) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate and key: %w", err)
	}
	raw, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("load CA: %w", errors.New("no certificate in "+files.CA))
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
