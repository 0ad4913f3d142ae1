package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"example.org/madderdrum/advice"
)

// BenchmarkRequest measures a request through a limiter on kept-alive connections; the client and the server do
// as little as possible.
func BenchmarkRequest(b *testing.B) {
	b.Run("without plug-ins", func(b *testing.B) { benchRequest(b, nil) })
	b.Run("an adviser without opinion", func(b *testing.B) { benchRequest(b, neutralAdviser{}) })
}

// neutralAdviser measures the cost of calling plug-ins, without a plug-in.
type neutralAdviser struct{}

func (neutralAdviser) Name(int) string { return "" }
func (neutralAdviser) Advise(context.Context, *advice.Subject, time.Duration) advice.Combined {
	return advice.Start()
}

func benchRequest(b *testing.B, adviser Adviser) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=7,queue=2\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	cfg := testConfig(b, "127.0.0.1:1", server("s-1", ln.Addr().String()))
	cfg.Settings.Module.Plans[1].Rate, cfg.Settings.Module.Plans[1].Burst = 1e9, 1e9
	cfg.Routes.Adviser = adviser
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ctx := b.Context()
	go n.Run(ctx)
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := io.WriteString(c, "GET /api?key=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r\r\n"+
			"X-Priority-Class: status-check\r\nPlan: enterprise\r\nX-Timeout: 9000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != 200 {
			b.Fatalf("status %d, %v", resp.StatusCode, err)
		}
	}
}
