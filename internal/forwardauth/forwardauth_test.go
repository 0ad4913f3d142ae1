package forwardauth

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/config"
	"example.org/madderdrum/deploy"
	"example.org/madderdrum/grant"
	"example.org/madderdrum/limiter"
	"example.org/madderdrum/route"
)

const (
	secret   = "a-secret-of-the-booking-proxy"
	patience = 10 * time.Second
)

var tier = Tier{Limiters: 3, Classes: []string{"status-check", "send-reminder", "send-bulk-paid"}, Plans: []string{"starter", "business"},
	MaxUnits: 6, MaxTimeout: 4 * time.Second}

// fakeDecider is a Decider with a single balance of units that records its calls.
type fakeDecider struct {
	mu     sync.Mutex
	level  float64
	leased float64
	asks   []limiter.Ask
	sent   []string
	block  chan struct{} // if set, Ask blocks until it is closed
	in     chan struct{} // if set, receives a value for each call of Ask
}

func (b *fakeDecider) Ask(a limiter.Ask) (bool, time.Duration) {
	if b.in != nil {
		b.in <- struct{}{}
	}
	if b.block != nil {
		<-b.block
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks = append(b.asks, a)
	if b.level < a.Units {
		return false, 1300 * time.Millisecond
	}
	b.level -= a.Units
	if a.Lease {
		b.leased += a.Units
	}
	return true, 0
}

func (b *fakeDecider) Settle(s limiter.Settle) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leased -= s.Units
	if s.Refund {
		b.level += s.Units
	}
}

func (b *fakeDecider) Tell(to int, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, fmt.Sprint(to, " ", len(data)))
}

func (b *fakeDecider) state() (level, leased float64, asks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level, b.leased, len(b.asks)
}

func write(t testing.TB, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// listener loads the forward_auth block in text; the rest of the configuration is the built-in
// fleet.
func listener(t testing.TB, text string) Listener {
	t.Helper()
	files := fstest.MapFS{"bluebird.hcl": {Data: deploy.Bluebird}, "f.hcl": {Data: []byte("include \"bluebird.hcl\" {}\n" + text)}}
	c, r := config.Load([]config.Root{{FS: files, Name: "f.hcl"}}, nil)
	if err := r.Err(); err != nil {
		t.Fatal(err)
	}
	return FromConfig(&c.ForwardAuth[0])
}

// serve runs a service configured in HCL, with SECRET and KEYS replaced by the paths of files.
func serve(t testing.TB, b *fakeDecider, proxies string) *Service {
	t.Helper()
	text := strings.NewReplacer("SECRET", write(t, "# old and new\nanother-secret-of-16\n"+secret+"\n"), "KEYS", write(t, "k1 "+strings.Repeat("s", 20)+"\n")).
		Replace("forward_auth \"n0\" {\nlisten = \"127.0.0.1:1\"\n" + proxies + "\n}\n")
	l := listener(t, text)
	l.Listen = "127.0.0.1:0"
	s, err := New(l, tier, b, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

func proxyBlock(dialect, mode, more string) string {
	return fmt.Sprintf("keys_file = \"KEYS\"\nproxy \"p\" {\ndialect = %q\nmode = %q\nfrom = [\"127.0.0.0/8\"]\nsecret_file = \"SECRET\"\n%s\n}", dialect, mode, more)
}

// headers returns the headers of a client's request.
func headers(id string) http.Header {
	return http.Header{"X-Request-Id": {id}, "X-Priority-Class": {"send-reminder"}, "Plan": {"business"}, "X-Timeout": {"900m"},
		"Quota-Info": {"units=2,spread=2,first=1"}}
}

// sendAuthRequest sends an authorization request as Traefik does, after applying change.
func sendAuthRequest(t testing.TB, s *Service, h http.Header, change func(*http.Request)) *http.Response {
	t.Helper()
	q, err := http.NewRequest("GET", "http://"+s.Addr().String()+"/ask", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header = h
	q.Header.Set("X-Proxy-Secret", secret)
	q.Header.Set("X-Forwarded-Method", "POST")
	q.Header.Set("X-Forwarded-Uri", "/api/send?key=00000000000000ab")
	if change != nil {
		change(q)
	}
	resp, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

// standIn simulates the proxy of a dialect, configured as in docs/forwardauth.md, towards the
// authorization service.
func standIn(dialect, service, secret string, upstream http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		method, uri := "GET", "/ask"
		if dialect == "envoy" { // the client's own method and path, behind a prefix
			method, uri = q.Method, "/ask"+q.URL.RequestURI()
		}
		a, err := http.NewRequest(method, "http://"+service+uri, nil)
		if err != nil {
			w.WriteHeader(500)
			return
		}
		for name, v := range q.Header {
			a.Header[name] = v
		}
		a.Header.Set("X-Proxy-Secret", secret)
		switch dialect {
		case "nginx":
			a.Header.Set("X-Original-Method", q.Method)
			a.Header.Set("X-Original-URI", q.URL.RequestURI())
		case "envoy": // no headers with the original request
		default:
			a.Header.Set("X-Forwarded-Method", q.Method)
			a.Header.Set("X-Forwarded-Uri", q.URL.RequestURI())
			a.Header.Set("X-Forwarded-Host", q.Host)
			a.Header.Set("X-Forwarded-For", "192.0.2.7")
		}
		resp, err := http.DefaultTransport.RoundTrip(a)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		status := resp.StatusCode
		if status/100 == 2 {
			if g := resp.Header.Get(GrantHeader); g != "" {
				q.Header.Set(GrantHeader, g)
			}
			upstream.ServeHTTP(w, q)
			return
		}
		switch dialect {
		case "nginx": // forwards 401 and 403 and turns every other status into 500
			if status != 401 && status != 403 {
				w.WriteHeader(500)
				return
			}
			// error_page 403 = @refused; return 429 if the status header has it
			if resp.Header.Get(StatusHeader) == "429" {
				status = 429
				w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
			}
			w.WriteHeader(status)
		case "haproxy": // deny with the status and header that the configuration names
			w.Header().Set("Retry-After", resp.Header.Get("Retry-After"))
			w.WriteHeader(status)
		default: // forwards the whole response to the client
			for name, v := range resp.Header {
				w.Header()[name] = v
			}
			w.WriteHeader(status)
			io.Copy(w, resp.Body)
		}
	})
}

// In every dialect, a granted request passes with its token, and a refusal reaches the client as
// 429 with Retry-After.
func TestDialects(t *testing.T) {
	for name := range dialects {
		t.Run(name, func(t *testing.T) {
			b := &fakeDecider{level: 4}
			s := serve(t, b, proxyBlock(name, "ask-then-carry", `path_prefix = "/ask"`))
			tokens := make(chan string, 8)
			proxy := httptest.NewServer(standIn(name, s.Addr().String(), secret, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				tokens <- q.Header.Get(GrantHeader)
				io.WriteString(w, "sent")
			})))
			defer proxy.Close()
			for i, want := range []int{200, 200, 429} {
				q, err := http.NewRequest("POST", proxy.URL+"/api/send?key=00000000000000ab", strings.NewReader("text"))
				if err != nil {
					t.Fatal(err)
				}
				q.Header = headers(fmt.Sprint("try-", i))
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != want {
					t.Fatalf("request %d: %d, want %d", i, resp.StatusCode, want)
				}
				if want == 429 && resp.Header.Get("Retry-After") != "2" {
					t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
				}
				if want == 200 {
					if tok, ok := s.verify(<-tokens); !ok || tok.Terms != (grant.Terms{Account: 0xab, Plan: 1, Class: 1, Units: 2}) {
						t.Errorf("token %+v", tok)
					}
				}
			}
			a := b.asks[0]
			if a.Account != 0xab || a.Class != 1 || a.Plan != 1 || a.Units != 2 || a.Spread != 2 || a.First != 1 || a.ExpiresMs != 900 || !a.Lease {
				t.Errorf("asked %+v", a)
			}
		})
	}
}

// Only requests of listed proxies with valid credentials reach the decision module.
func TestTrust(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "asked-only", ""))
	for _, c := range []struct {
		name string
		set  func(*http.Request)
		want int
	}{
		{"the secret", nil, 200},
		{"the older secret", func(q *http.Request) { q.Header.Set("X-Proxy-Secret", "another-secret-of-16") }, 200},
		{"no secret", func(q *http.Request) { q.Header.Del("X-Proxy-Secret") }, 401},
		{"a wrong one", func(q *http.Request) { q.Header.Set("X-Proxy-Secret", secret+"x") }, 401},
		{"two", func(q *http.Request) { q.Header.Add("X-Proxy-Secret", secret) }, 401},
		{"a comment of the file", func(q *http.Request) { q.Header.Set("X-Proxy-Secret", "# old and new") }, 401},
	} {
		if got := sendAuthRequest(t, s, headers(c.name+"-1"), c.set).StatusCode; strings.Contains(c.name, " ") && got == 400 {
			got = sendAuthRequest(t, s, headers(strings.ReplaceAll(c.name, " ", "")), c.set).StatusCode
			if got != c.want {
				t.Errorf("%s: %d, want %d", c.name, got, c.want)
			}
		} else if got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if _, _, asks := b.state(); asks != 2 {
		t.Errorf("the module was asked %d times", asks)
	}
	other := serve(t, b, strings.Replace(proxyBlock("traefik", "asked-only", ""), "127.0.0.0/8", "10.1.0.0/16", 1))
	if got := sendAuthRequest(t, other, headers("far"), nil).StatusCode; got != 403 {
		t.Errorf("from an address that is not listed: %d", got)
	}
}

// Secrets and keys are reloaded without a restart; invalid content leaves the old ones in use.
func TestRotation(t *testing.T) {
	var warned []string
	path := write(t, "first-secret-of-16-bytes\n")
	f, err := newFileValue(parseSecrets, func(msg string, _ ...any) { warned = append(warned, msg) }, path)
	if err != nil {
		t.Fatal(err)
	}
	change := func(content string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		old := time.Now().Add(time.Duration(len(content)) * time.Hour) // ensures a different modification time
		if err := os.Chtimes(path, old, old); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	change("first-secret-of-16-bytes\nsecond-secret-of-16-bytes\n")
	if n := len(f.get(now)); n != 1 {
		t.Errorf("checked the file too often: %d secrets", n)
	}
	if n := len(f.get(now.Add(2 * fileCheckInterval))); n != 2 {
		t.Errorf("%d secrets after the change", n)
	}
	change("short\n")
	if n := len(f.get(now.Add(4 * fileCheckInterval))); n != 2 || len(warned) != 1 {
		t.Errorf("%d secrets after an invalid change, %v", n, warned)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if n := len(f.get(now.Add(6 * fileCheckInterval))); n != 2 || len(warned) != 2 {
		t.Errorf("%d secrets without the file, %v", n, warned)
	}
	if _, err := parseKeys([][]byte{[]byte("k1 " + strings.Repeat("s", 16) + "\nk1 " + strings.Repeat("t", 16))}); err == nil {
		t.Error("accepted two keys with one id")
	}
}

// Every malformed authorization request gets 400 and has no effect; bodies are not read.
func TestMalformed(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "ask-then-carry", ""))
	for name, set := range map[string]func(*http.Request){
		"no method":       func(q *http.Request) { q.Header.Del("X-Forwarded-Method") },
		"no path":         func(q *http.Request) { q.Header.Del("X-Forwarded-Uri") },
		"two paths":       func(q *http.Request) { q.Header.Add("X-Forwarded-Uri", "/x") },
		"no account":      func(q *http.Request) { q.Header.Set("X-Forwarded-Uri", "/x") },
		"two accounts":    func(q *http.Request) { q.Header.Set("X-Forwarded-Uri", "/x?key=1&key=2") },
		"account no hex":  func(q *http.Request) { q.Header.Set("X-Forwarded-Uri", "/x?key=zz") },
		"account too far": func(q *http.Request) { q.Header.Set("X-Forwarded-Uri", "/x?key=200000000") },
		"bad query":       func(q *http.Request) { q.Header.Set("X-Forwarded-Uri", "/x?key=%zz") },
		"no class":        func(q *http.Request) { q.Header.Del("X-Priority-Class") },
		"unknown class":   func(q *http.Request) { q.Header.Set("X-Priority-Class", "sms") },
		"unknown plan":    func(q *http.Request) { q.Header.Set("Plan", "gold") },
		"no id":           func(q *http.Request) { q.Header.Del("X-Request-Id") },
		"long id":         func(q *http.Request) { q.Header.Set("X-Request-Id", strings.Repeat("x", 129)) },
		"no units":        func(q *http.Request) { q.Header.Set("Quota-Info", "units=0") },
		"too many units":  func(q *http.Request) { q.Header.Set("Quota-Info", "units=7") },
		"NaN units":       func(q *http.Request) { q.Header.Set("Quota-Info", "units=NaN") },
		"spread":          func(q *http.Request) { q.Header.Set("Quota-Info", "spread=4") },
		"first":           func(q *http.Request) { q.Header.Set("Quota-Info", "first=3") },
		"no time":         func(q *http.Request) { q.Header.Set("X-Timeout", "0m") },
		"time no unit":    func(q *http.Request) { q.Header.Set("X-Timeout", "500") },
		"time too far":    func(q *http.Request) { q.Header.Set("X-Timeout", "99999999999m") },
	} {
		if got := sendAuthRequest(t, s, headers("id"), set).StatusCode; got != 400 {
			t.Errorf("%s: %d", name, got)
		}
	}
	level, leased, asks := b.state()
	if level != 100 || leased != 0 || asks != 0 {
		t.Errorf("level %g, leased %g, %d asks", level, leased, asks)
	}
	// A body that never arrives does not delay the response, and an oversized header is rejected.
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(conn, "POST /ask HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\nX-Proxy-Secret: %s\r\nX-Forwarded-Method: POST\r\nX-Forwarded-Uri: /x?key=1\r\n"+
		"X-Request-ID: b\r\nX-Priority-Class: status-check\r\nPlan: starter\r\n\r\n", secret)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("with a body that does not arrive: %v, %+v", err, resp)
	}
	endless, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer endless.Close()
	endless.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(endless, "GET /ask HTTP/1.1\r\nX: %s", strings.Repeat("x", 64<<10))
	if resp, err := http.ReadResponse(bufio.NewReader(endless), nil); err == nil && resp.StatusCode != 431 {
		t.Errorf("an oversized header: %d", resp.StatusCode)
	}
}

// A repeated authorization request for one attempt is charged once.
func TestSameTryTwice(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "ask-then-carry", ""))
	first := sendAuthRequest(t, s, headers("same"), nil).Header.Get(GrantHeader)
	again := sendAuthRequest(t, s, headers("same"), nil).Header.Get(GrantHeader)
	if level, _, asks := b.state(); first == "" || first != again || level != 98 || asks != 1 {
		t.Errorf("level %g after %d asks", level, asks)
	}
	if sendAuthRequest(t, s, headers("other"), nil); b.level != 96 {
		t.Errorf("level %g after another attempt", b.level)
	}
}

// An attempt whose grant has expired is charged again, even while an older entry is still in
// the table: a token of another limiter is remembered until it expires.
func TestSameTryMuchLater(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "ask-then-carry", `lease = "20ms"`))
	terms := grant.Terms{Account: 1, Units: 1}
	token := s.keys.get(time.Now()).Sign(grant.Token{Limiter: 1, Lease: grant.ID{5}, Terms: terms, Until: time.Now().Add(grant.MaxLease)})
	if _, vouched := s.Redeem(token, terms); !vouched {
		t.Fatal("a valid token of another limiter was not accepted")
	}
	first := sendAuthRequest(t, s, headers("same"), nil).Header.Get(GrantHeader)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) { // wait until its lease expires
		if _, leased, _ := b.state(); leased == 0 {
			break
		} else if time.Now().After(end) {
			t.Fatal("the lease does not expire")
		}
	}
	if repeated := sendAuthRequest(t, s, headers("same"), nil).Header.Get(GrantHeader); repeated == first || repeated == "" {
		t.Errorf("granted again with %q", repeated)
	}
	if _, _, asks := b.state(); asks != 2 {
		t.Errorf("the module was asked %d times", asks)
	}
}

// A lease is redeemed once, by a message with the terms that it was granted for. Messages with a
// reused or forged token are charged like any other.
func TestThiefOfGrants(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "ask-then-carry", `lease = "30s"`))
	token := sendAuthRequest(t, s, headers("x"), nil).Header.Get(GrantHeader)
	terms := grant.Terms{Account: 0xab, Plan: 1, Class: 1, Units: 2}
	for name, attempt := range map[string]struct {
		token string
		terms grant.Terms
	}{
		"another account": {token, grant.Terms{Account: 0xac, Plan: 1, Class: 1, Units: 2}},
		"more units":      {token, grant.Terms{Account: 0xab, Plan: 1, Class: 1, Units: 3}},
		"another class":   {token, grant.Terms{Account: 0xab, Plan: 1, Class: 2, Units: 2}},
		"forged":          {token[:len(token)-4] + "AAAA", terms},
		"cut":             {token[:20], terms},
		"nothing":         {"", terms},
	} {
		if got, vouched := s.Redeem(attempt.token, attempt.terms); got != 0 || vouched {
			t.Errorf("%s: redeemed %g, accepted %v", name, got, vouched)
		}
	}
	redeemed := 0
	for range 100 {
		if leased, _ := s.Redeem(token, terms); leased > 0 {
			redeemed++
		}
	}
	if redeemed != 1 {
		t.Errorf("redeemed %d times", redeemed)
	}
	// Another limiter accepts the token once and sends one notice.
	elsewhere := &fakeDecider{}
	cfg := s.cfg
	cfg.Listen = "127.0.0.1:0"
	secondTier := tier
	secondTier.Position = 1
	o, err := New(cfg, secondTier, elsewhere, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer o.listener.Close()
	vouched := 0
	for range 1000 {
		leased, accepted := o.Redeem(token, terms)
		if leased != 0 {
			t.Fatal("another limiter's lease was redeemed")
		}
		if accepted {
			vouched++
		}
	}
	for range 10 {
		o.sendNotices()
	}
	if n := len(elsewhere.sent); vouched != 1 || n != 1 || elsewhere.sent[0] != "0 18" {
		t.Errorf("accepted %d times, sent %v", vouched, elsewhere.sent)
	}
	far := s.keys.get(time.Now()).Sign(grant.Token{Limiter: 0, Lease: grant.ID{9}, Terms: terms, Until: time.Now().Add(2 * time.Hour)})
	over := s.keys.get(time.Now()).Sign(grant.Token{Limiter: 0, Lease: grant.ID{8}, Terms: terms, Until: time.Now().Add(-time.Second)})
	for _, text := range []string{far, over} {
		if leased, accepted := o.Redeem(text, terms); leased != 0 || accepted {
			t.Error("accepted a token that has expired or expires too far in the future")
		}
	}
}

// A lease ends when it expires, when the proxy cancels or confirms it, or when another limiter
// reports its redemption, and is settled exactly once.
func TestLeasesEnd(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, proxyBlock("traefik", "ask-then-carry", `lease = "300ms"`))
	until := func(want float64) {
		t.Helper()
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			if level, leased, _ := b.state(); level == want && leased == 0 {
				return
			} else if time.Now().After(end) {
				t.Fatalf("level %g, leased %g, want %g", level, leased, want)
			}
		}
	}
	for i := range 20 {
		sendAuthRequest(t, s, headers(strconv.Itoa(i)), nil)
	}
	until(100)
	post := func(path, token string) int {
		return sendAuthRequest(t, s, http.Header{GrantHeader: {token}}, func(q *http.Request) { q.URL.Path, q.Method = path, "POST" }).StatusCode
	}
	cancelled := sendAuthRequest(t, s, headers("cancelled"), nil).Header.Get(GrantHeader)
	if code := post(CancelPath, cancelled); code != 204 {
		t.Errorf("cancel: %d", code)
	}
	until(100)
	if code := post(CancelPath, cancelled); code != 410 {
		t.Errorf("cancelled again: %d", code)
	}
	confirmed := sendAuthRequest(t, s, headers("confirmed"), nil).Header.Get(GrantHeader)
	if code := post(ConfirmPath, confirmed); code != 204 {
		t.Errorf("confirm: %d", code)
	}
	until(98)
	if code := post(CancelPath, confirmed+"x"); code != 400 {
		t.Errorf("a forged token: %d", code)
	}
	moved, ok := s.verify(sendAuthRequest(t, s, headers("moved"), nil).Header.Get(GrantHeader))
	if !ok {
		t.Fatal("no token")
	}
	notice := grant.RedeemNotice{Leases: []grant.ID{moved.Lease, moved.Lease}}.Encode()
	s.Heard(notice)
	s.Heard(notice)
	s.Heard([]byte("noise"))
	until(98)
}

// Open leases and pending requests are limited; above the limits requests are rejected at once.
func TestBounds(t *testing.T) {
	b := &fakeDecider{level: 100}
	s := serve(t, b, "leases = 3\n"+proxyBlock("traefik", "ask-then-carry", `lease = "30s"`))
	codes := map[int]int{}
	for i := range 6 {
		codes[sendAuthRequest(t, s, headers(strconv.Itoa(i)), nil).StatusCode]++
	}
	if codes[200] != 3 || codes[429] != 3 {
		t.Errorf("answers %v", codes)
	}

	slow := &fakeDecider{level: 100, block: make(chan struct{}), in: make(chan struct{}, 10)}
	s = serve(t, slow, "pending = 4\n"+proxyBlock("traefik", "asked-only", ""))
	got := make(chan int, 20)
	for i := range 4 {
		go func() { got <- sendAuthRequest(t, s, headers("slow"+strconv.Itoa(i)), nil).StatusCode }()
	}
	<-slow.in
	for end := time.Now().Add(patience); s.pending.Load() < 4; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the requests did not arrive")
		}
	}
	if code := sendAuthRequest(t, s, headers("late"), nil).StatusCode; code != 503 {
		t.Errorf("above the limit of pending requests: %d", code)
	}
	close(slow.block)
	for range 4 {
		if code := <-got; code != 200 {
			t.Errorf("a pending request: %d", code)
		}
	}
}

// The example configuration in deploy/ loads with the expected values.
func TestDeployFile(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "forwardauth.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	l := listener(t, string(data))
	p := l.Proxies
	if l.Limiter != "n0" || l.MaxLeases != 100_000 || len(p) != 2 || p[0].Mode != AskedOnly || p[1].Mode != AskThenCarry || p[1].LeaseDuration != 2*time.Second ||
		p[0].DefaultTimeout != 700*time.Millisecond || !p[0].From[0].Contains(netip.MustParseAddr("127.0.0.1")) || p[0].SecretHeader != "X-Proxy-Secret" ||
		len(p[0].Routes) != 2 || p[0].Routes[0].Units != 2 || p[0].Names.URI != "X-Original-URI" || p[1].Names.ID != "X-Request-ID" {
		t.Errorf("%+v", l)
	}
}

// Authorization requests use the routes of forwarded requests: they get the pool, class and
// deadline of the route. Paths without a route, and paths that a box might interpret differently,
// are rejected.
func TestAsksGoByRoutes(t *testing.T) {
	b := &fakeDecider{level: 1000}
	s := serve(t, b, proxyBlock("traefik", "asked-only", ""))
	routed := tier
	routed.Route = func(q *route.Request) (Target, bool) {
		if q.Method != "POST" || q.Account != 7 {
			t.Errorf("routed by %+v", q)
		}
		return Target{Pool: 9, Class: 2, Deadline: 300 * time.Millisecond}, q.Host == "north.example" && strings.HasPrefix(q.Path, "/bulk/")
	}
	s.ReplaceTier(routed, func(done func()) { done() })
	for i, c := range []struct {
		host, uri string
		want      int
	}{
		{"north.example", "/bulk/x?key=7", 200},
		{"south.example", "/bulk/x?key=7", 400},
		{"north.example", "/other?key=7", 400},
		{"north.example", "/bulk/../other?key=7", 400},
		{"north.example", "/bulk%2fx?key=7", 400},
	} {
		code := sendAuthRequest(t, s, headers(fmt.Sprint("routed-", i)), func(q *http.Request) {
			q.Header.Set("X-Forwarded-Host", c.host)
			q.Header.Set("X-Forwarded-Uri", c.uri)
			q.Header.Set("X-Forwarded-Method", "POST")
			q.Header.Del("X-Priority-Class")
		}).StatusCode
		if code != c.want {
			t.Errorf("%s%s: %d, want %d", c.host, c.uri, code, c.want)
		}
	}
	if _, _, n := b.state(); n != 1 {
		t.Fatalf("the module was asked %d times", n)
	}
	if a := b.asks[0]; a.Pool != 9 || a.Class != 2 || a.ExpiresMs != 300 {
		t.Errorf("asked %+v", a)
	}
}

// The plug-ins of a route are called for authorization requests as for forwarded ones: they see
// the proxy's headers except its secret, and their advice is passed to the module. Nothing is
// granted to a proxy that has closed its connection meanwhile.
func TestAsksArePutToPlugins(t *testing.T) {
	b := &fakeDecider{level: 1000}
	s := serve(t, b, proxyBlock("traefik", "asked-only", ""))
	var mu sync.Mutex
	var seen []advice.Subject
	var shownHeaders [][2]string
	disconnect := make(chan func(), 1)
	routed := tier
	routed.Route = func(q *route.Request) (Target, bool) {
		return Target{Class: -1, Advise: func(ctx context.Context, x *advice.Subject, left time.Duration) limiter.Advice {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, *x)
			shownHeaders = append(shownHeaders, [2]string{x.Header("X-Tenant"), x.Header("X-Proxy-Secret")})
			select {
			case f := <-disconnect:
				f()
				<-ctx.Done()
			default:
			}
			if left != 700*time.Millisecond {
				t.Errorf("left %v", left)
			}
			return limiter.Advice{Refuse: x.Header("X-Tenant") == "no", WaitMs: 250, Factor: 2}
		}}, true
	}
	s.ReplaceTier(routed, func(done func()) { done() })
	for tenant, want := range map[string]int{"yes": 200, "no": 200} { // fakeDecider ignores advice
		code := sendAuthRequest(t, s, headers("put-"+tenant), func(q *http.Request) {
			q.Header.Set("X-Forwarded-Uri", "/v1/messages?key=7")
			q.Header.Set("X-Forwarded-Method", "POST")
			q.Header.Set("X-Timeout", "700m")
			q.Header.Set("X-Tenant", tenant)
		}).StatusCode
		if code != want {
			t.Errorf("%s: %d", tenant, code)
		}
	}
	if len(b.asks) != 2 || len(seen) != 2 {
		t.Fatalf("%d requests, %d shown to plug-ins", len(b.asks), len(seen))
	}
	for i, a := range b.asks {
		if a.Advice != (limiter.Advice{Refuse: shownHeaders[i][0] == "no", WaitMs: 250, Factor: 2}) {
			t.Errorf("%s: %+v", shownHeaders[i][0], a.Advice)
		}
		if x := &seen[i]; shownHeaders[i][1] != "" || x.Account != 7 || x.Method != "POST" || x.Path != "/v1/messages" || x.ClassName == "" || x.PlanName == "" || x.Whole != nil {
			t.Errorf("plug-in saw %+v, secret %q", x, shownHeaders[i][1])
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	disconnect <- cancel
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header = headers("put-left")
	q.Header.Set("X-Proxy-Secret", secret)
	q.Header.Set("X-Forwarded-Uri", "/v1/messages?key=7")
	q.Header.Set("X-Forwarded-Method", "POST")
	q.Header.Set("X-Timeout", "700m")
	if _, err := http.DefaultClient.Do(q); err == nil {
		t.Error("a response for a proxy that disconnected")
	}
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if _, _, n := b.state(); n == 3 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the third request does not reach the module")
		}
	}
	if a := b.asks[2]; !a.Advice.Refuse {
		t.Errorf("for a proxy that disconnected: %+v", a.Advice)
	}
}
