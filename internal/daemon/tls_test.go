package daemon_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/settings"
)

// tlsCredentials hold a certificate authority, and a certificate for the
// loopback address that the authority signed.
type tlsCredentials struct {
	files settings.TLSFiles
	pool  *x509.CertPool
}

func newTLSCredentials() *tlsCredentials {
	GinkgoHelper()
	directory := GinkgoT().TempDir()
	authority, authorityKey := issueCertificate(1, nil, nil)
	leaf, leafKey := issueCertificate(2, authority, authorityKey)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(leafKey)
	Expect(err).NotTo(HaveOccurred())
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(directory, name)
		Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600)).To(Succeed())
		return path
	}
	credentials := &tlsCredentials{pool: x509.NewCertPool()}
	credentials.pool.AddCert(authority)
	credentials.files = settings.TLSFiles{
		Certificate: write("certificate.pem", "CERTIFICATE", leaf.Raw),
		Key:         write("key.pem", "PRIVATE KEY", encodedKey),
		Authority:   write("authority.pem", "CERTIFICATE", authority.Raw),
	}
	return credentials
}

// issueCertificate returns a new certificate signed by the parent, and its key.
// Without a parent, it returns a self-signed certificate of an authority.
func issueCertificate(serial int64, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "thymeloft test"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		BasicConstraintsValid: true,
		IsCA:                  parent == nil,
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	Expect(err).NotTo(HaveOccurred())
	parsed, err := x509.ParseCertificate(encoded)
	Expect(err).NotTo(HaveOccurred())
	return parsed, key
}

// settings returns TLS settings with which the operator and peer listeners
// require a client certificate, and the caller and metrics listeners do not.
func (c *tlsCredentials) settings() settings.TLS {
	withoutAuthority := c.files
	withoutAuthority.Authority = ""
	return settings.TLS{Caller: withoutAuthority, Operator: c.files, Peer: c.files, Metrics: withoutAuthority}
}

func (c *tlsCredentials) client() *http.Client {
	GinkgoHelper()
	certificate, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	Expect(err).NotTo(HaveOccurred())
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: c.pool, Certificates: []tls.Certificate{certificate}}}}
}

var _ = Describe("a cluster with TLS on every listener", func() {
	It("serves callers, operators, peers and metrics, rejects operators without a certificate, and is not trusted by clients without the authority", func() {
		credentials := newTLSCredentials()
		c := startCluster(3, credentials)
		c.applyConfiguration()
		for turn, member := range c.members {
			path := fmt.Sprintf("/v1/programs/%s/calls/%d", member.createProgram("one").Program, turn+1)
			answered := member.send("POST", path, fmt.Sprintf(modelCall, turn, ""))
			Expect(answered.status).To(Equal(http.StatusOK), answered.body)
		}
		addresses := c.members[0].Addresses()
		clientWithoutCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: credentials.pool}}}
		response, err := clientWithoutCertificate.Get("https://" + addresses.Metrics + "/healthz")
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		_, err = clientWithoutCertificate.Get("https://" + addresses.Operator)
		Expect(err).To(MatchError(ContainSubstring("certificate required")))
		_, err = http.Get("https://" + addresses.Caller)
		Expect(err).To(MatchError(ContainSubstring("unknown authority")))
	})
})
