package forwardauth

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func (a *authority) issue(t *testing.T, name string, ca bool) (cert, key []byte, made *authority) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	parent, signer := c, k
	if a != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), &authority{c, k}
}

// Proxies may authenticate with a client certificate instead of a secret; the listener's own
// certificate is reloaded when its files change.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	put := func(name string, data []byte, hours int) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		at := time.Now().Add(time.Duration(hours) * time.Hour)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
		return path
	}
	caPEM, _, ca := (*authority)(nil).issue(t, "the authority", true)
	cert, key, _ := ca.issue(t, "n0", false)
	l := Listener{Limiter: "n0", Listen: "127.0.0.1:0", MaxLeases: 10, MaxPending: 10, TLS: &TLS{put("cert", cert, 0), put("key", key, 0), put("ca", caPEM, 0)}}
	l.Proxies = listener(t, `forward_auth "n0" {
  listen = "127.0.0.1:1"
  tls {
    cert_file      = "cert"
    key_file       = "key"
    client_ca_file = "ca"
  }
  proxy "p" {
    dialect    = "traefik"
    mode       = "asked-only"
    from       = ["127.0.0.1"]
    cert_names = ["booking"]
  }
}`).Proxies
	b := &fakeDecider{level: 100}
	s, err := New(l, tier, b, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(t.Context()) }()
	t.Cleanup(func() { <-done })
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	ask := func(show []tls.Certificate) (int, *x509.Certificate, error) {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: show}}}
		q, err := http.NewRequest("GET", "https://"+s.Addr().String()+"/ask", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header = headers("x")
		q.Header.Set("X-Forwarded-Method", "GET")
		q.Header.Set("X-Forwarded-Uri", "/?key=1")
		resp, err := c.Do(q)
		if err != nil {
			return 0, nil, err
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.TLS.PeerCertificates[0], nil
	}
	pair := func(a *authority, name string) []tls.Certificate {
		c, k, _ := a.issue(t, name, false)
		p, err := tls.X509KeyPair(c, k)
		if err != nil {
			t.Fatal(err)
		}
		return []tls.Certificate{p}
	}
	if code, _, err := ask(pair(ca, "booking")); code != 200 || err != nil {
		t.Errorf("with its own certificate: %d %v", code, err)
	}
	if code, _, err := ask(pair(ca, "another")); code != 401 || err != nil {
		t.Errorf("with another proxy's certificate: %d %v", code, err)
	}
	if code, _, err := ask(nil); code != 401 || err != nil {
		t.Errorf("without a certificate: %d %v", code, err)
	}
	_, _, foreign := (*authority)(nil).issue(t, "another authority", true)
	if code, _, err := ask(pair(foreign, "booking")); err == nil && code == 200 {
		t.Error("accepted a certificate of another authority")
	}
	_, first, _ := ask(nil)
	cert, key, _ = ca.issue(t, "n0 renewed", false)
	put("cert", cert, 1)
	put("key", key, 1)
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if _, now, err := ask(nil); err == nil && now.Subject.CommonName == "n0 renewed" && first.Subject.CommonName == "n0" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the changed certificate was not loaded")
		}
	}
}
