package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/peer"
)

// newCertificate returns a new self-signed certificate for 127.0.0.1, and a
// certificate pool that contains only this certificate.
func newCertificate() (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	parsed, err := x509.ParseCertificate(content)
	Expect(err).NotTo(HaveOccurred())
	certPool := x509.NewCertPool()
	certPool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{content}, PrivateKey: key}, certPool
}

var _ = Describe("Calls over TLS", func() {
	It("verifies the certificates of both sides", func() {
		trusted, trustedPool := newCertificate()
		untrusted, untrustedPool := newCertificate()
		server, _ := startServer(peer.Options{TLS: &tls.Config{
			Certificates: []tls.Certificate{trusted}, ClientCAs: trustedPool, ClientAuth: tls.RequireAndVerifyClientCert,
		}})
		call := func(configuration *tls.Config) error {
			pool := newPool(peer.Options{TLS: configuration})
			return pool.Call(newContext(testDeadline), server.Address(), peer.ClassData, "Echo.Repeat", Message{}, new(Message))
		}
		Expect(call(&tls.Config{Certificates: []tls.Certificate{trusted}, RootCAs: trustedPool})).To(Succeed())
		Expect(call(&tls.Config{Certificates: []tls.Certificate{trusted}, RootCAs: untrustedPool})).To(MatchError(peer.ErrNotSent))
		Expect(call(&tls.Config{Certificates: []tls.Certificate{untrusted}, RootCAs: trustedPool})).NotTo(Succeed())
		Expect(call(nil)).NotTo(Succeed())
	})
})

// FuzzServer sends arbitrary bytes after a valid preamble; the server must not panic.
func FuzzServer(f *testing.F) {
	server, err := peer.Listen("127.0.0.1:0", peer.Options{MaxMessageBytes: 1 << 16})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = server.Close() })
	if err := server.Register("Echo", &echo{}); err != nil {
		f.Fatal(err)
	}
	f.Add([]byte("thymeloft-peer/1\x00"))
	f.Add([]byte("thymeloft-peer/1\x02\x2f\x7f\x03\x01\x01\x07Request\x01\xff\x80"))
	f.Fuzz(func(t *testing.T, content []byte) {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write(append([]byte("thymeloft-peer/1\x01"), content...)); err != nil {
			return // the server has already closed the connection
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	})
}
