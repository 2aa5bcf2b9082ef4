package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// ServerConfig returns the TLS configuration of a listener, or nil without an error if
// no certificate is set. If an authority is set, the listener requires a client
// certificate signed by it.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load certificate %s", f.Certificate)
	}
	configuration := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if f.Authority == "" {
		return configuration, nil
	}
	pool, err := loadAuthorities(f.Authority)
	if err != nil {
		return nil, err
	}
	configuration.ClientCAs = pool
	configuration.ClientAuth = tls.RequireAndVerifyClientCert
	return configuration, nil
}

// ClientConfig returns the TLS configuration for calls to other daemons, or nil without
// an error if no certificate is set. The other daemon's certificate must be signed by
// the authority if one is set, otherwise by one of the root authorities of the host.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	server, err := f.ServerConfig()
	if server == nil || err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: server.Certificates, RootCAs: server.ClientCAs, MinVersion: tls.VersionTLS13}, nil
}

func loadAuthorities(name string) (*x509.CertPool, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "load authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, eris.Errorf("load authorities: no certificate in %s", name)
	}
	return pool, nil
}
