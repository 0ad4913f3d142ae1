package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestText(t *testing.T) {
	got := string(Text([]Metric{
		SingleValue("a_seconds", "How long.\nAnd \\ more", Gauge, 0.25),
		Flag("ready", "Whether it is", true),
		{"answers_total", "By status", Counter, []Sample{
			{[]Label{{"status", "200"}}, 3},
			{[]Label{{"status", "503"}, {"reason", `a "quoted" \ one` + "\n"}}, 1e9},
		}},
		{"none", "Of which there is none", Counter, nil},
	}))
	want := `# HELP a_seconds How long.\nAnd \\ more
# TYPE a_seconds gauge
a_seconds 0.25
# HELP ready Whether it is
# TYPE ready gauge
ready 1
# HELP answers_total By status
# TYPE answers_total counter
answers_total{status="200"} 3
answers_total{status="503",reason="a \"quoted\" \\ one\n"} 1e+09
# HELP none Of which there is none
# TYPE none counter
`
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestServe(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	collect := func() []Metric { return []Metric{Flag("up", "It is", true)} }
	if err := Serve(ctx, address, collect); err == nil {
		t.Error("no error for an address in use")
	}
	probe.Close()
	if err := Serve(ctx, address, collect); err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for path, want := range map[string]int{Path: 200, "/": 404} {
		r, err := client.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil || r.StatusCode != want {
			t.Errorf("%s: %d %v, %d wanted", path, r.StatusCode, err, want)
		}
		if path == Path && (string(body) != "# HELP up It is\n# TYPE up gauge\nup 1\n" || r.Header.Get("Content-Type") != contentType) {
			t.Errorf("%s of type %q", body, r.Header.Get("Content-Type"))
		}
	}
}
