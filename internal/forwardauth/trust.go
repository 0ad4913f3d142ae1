package forwardauth

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"example.org/madderdrum/grant"
)

// fileCheckInterval is the minimum time between two checks of files for changes.
const fileCheckInterval = time.Second

// maxFileBytes limits the size of files with secrets, keys and certificates.
const maxFileBytes = 64 << 10

// fileValue is a value parsed from files and reloaded when they change. If the new content is
// invalid, the old value stays in use, since a file may be half written.
type fileValue[T any] struct {
	paths []string
	parse func([][]byte) (T, error)
	warn  func(msg string, args ...any)

	mu                sync.Mutex
	value             T
	checkedAt         time.Time
	loadedFingerprint string
}

func newFileValue[T any](parse func([][]byte) (T, error), warn func(string, ...any), paths ...string) (*fileValue[T], error) {
	f := &fileValue[T]{paths: paths, parse: parse, warn: warn}
	var err error
	f.loadedFingerprint, err = f.fingerprint()
	if err == nil {
		f.value, err = f.read()
	}
	f.checkedAt = time.Now()
	return f, err
}

func (f *fileValue[T]) fingerprint() (stamp string, err error) {
	for _, p := range f.paths {
		info, err := os.Stat(p)
		if err != nil {
			return "", fmt.Errorf("forward authentication: %w", err)
		}
		if info.Size() > maxFileBytes {
			return "", fmt.Errorf("forward authentication: %s has %d bytes, %d at most", p, info.Size(), maxFileBytes)
		}
		stamp += fmt.Sprintf("%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return stamp, nil
}

func (f *fileValue[T]) read() (v T, err error) {
	var all [][]byte
	for _, p := range f.paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return v, fmt.Errorf("forward authentication: %w", err)
		}
		all = append(all, data)
	}
	if v, err = f.parse(all); err != nil {
		return v, fmt.Errorf("forward authentication: %s: %w", strings.Join(f.paths, ", "), err)
	}
	return v, nil
}

// get returns the value, reloaded if the files have changed.
func (f *fileValue[T]) get(now time.Time) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checkedAt) < fileCheckInterval {
		return f.value
	}
	f.checkedAt = now
	stamp, err := f.fingerprint()
	if err == nil && stamp != f.loadedFingerprint {
		var v T
		if v, err = f.read(); err == nil {
			f.value, f.loadedFingerprint = v, stamp
		}
	}
	if err != nil {
		f.warn("can't load the changed secrets; the old ones stay in use", "err", err)
	}
	return f.value
}

// parseSecrets parses a file with one secret per line and returns their hashes. Any of them is
// accepted, so that a new secret can be added before the old one is removed.
func parseSecrets(files [][]byte) (all [][sha256.Size]byte, err error) {
	for line := range bytes.Lines(files[0]) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if len(line) < 16 {
			return nil, errors.New("a secret has fewer than 16 characters; write longer ones, one per line")
		}
		all = append(all, sha256.Sum256(line))
	}
	if len(all) == 0 {
		return nil, errors.New("no secret; write one per line")
	}
	return all, nil
}

// parseKeys parses signing keys for tokens, one per line: an id and a secret. The first key signs.
func parseKeys(files [][]byte) (grant.Keys, error) {
	var k grant.Keys
	for line := range strings.Lines(string(files[0])) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		id, secret, ok := strings.Cut(line, " ")
		if !ok {
			return nil, errors.New("a line without a secret; write an id, a space and a secret")
		}
		k = append(k, grant.Key{ID: id, Secret: []byte(strings.TrimSpace(secret))})
	}
	return k, k.Check()
}

// certificates are a listener's own certificate and, if set, the authorities of client certificates.
type certificates struct {
	own     tls.Certificate
	clients *x509.CertPool
}

func parseCertificates(files [][]byte) (c certificates, err error) {
	if c.own, err = tls.X509KeyPair(files[0], files[1]); err != nil {
		return c, err
	}
	if len(files) > 2 {
		if c.clients = x509.NewCertPool(); !c.clients.AppendCertsFromPEM(files[2]) {
			return c, errors.New("no certificate of a client authority in PEM form")
		}
	}
	return c, nil
}

// tlsConfig returns a configuration that reloads its certificates when the files change.
func (t *TLS) tlsConfig(warn func(string, ...any)) (*tls.Config, error) {
	paths := []string{t.Cert, t.Key}
	if t.ClientCA != "" {
		paths = append(paths, t.ClientCA)
	}
	files, err := newFileValue(parseCertificates, warn, paths...)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := files.get(time.Now())
		conf := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{c.own}}
		if c.clients != nil {
			conf.ClientCAs, conf.ClientAuth = c.clients, tls.VerifyClientCertIfGiven
		}
		return conf, nil
	}}, nil
}

// authenticate returns the proxy that sent a request, or else a status: 403 if the client's
// address is not listed, 401 if it lacks the secret or certificate.
func (s *Service) authenticate(req *http.Request) (*proxy, int) {
	addr, err := netip.ParseAddrPort(req.RemoteAddr)
	if err != nil {
		return nil, http.StatusForbidden
	}
	from, listed := addr.Addr().Unmap(), false
	for _, p := range s.proxies {
		for _, net := range p.From {
			if !net.Contains(from) {
				continue
			}
			listed = true
			if p.hasCredentials(req) {
				return p, 0
			}
			break
		}
	}
	if listed {
		return nil, http.StatusUnauthorized
	}
	return nil, http.StatusForbidden
}

// hasCredentials reports whether a request has the proxy's secret or a certificate with one of its names.
func (p *proxy) hasCredentials(req *http.Request) bool {
	if req.TLS != nil && len(req.TLS.VerifiedChains) > 0 {
		leaf := req.TLS.VerifiedChains[0][0]
		for _, name := range p.CertNames {
			if leaf.Subject.CommonName == name || leaf.VerifyHostname(name) == nil {
				return true
			}
		}
	}
	if p.secrets == nil {
		return false
	}
	given, err := singleHeader(req.Header, p.SecretHeader)
	if err != nil || given == "" {
		return false
	}
	sum := sha256.Sum256([]byte(given))
	for _, secret := range p.secrets.get(time.Now()) {
		if subtle.ConstantTimeCompare(sum[:], secret[:]) == 1 {
			return true
		}
	}
	return false
}
