package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// benchProxy is a limiter with one server that answers at once, and where its clients connect to.
func benchProxy(b *testing.B) (address string) {
	y := newTestProxy(b)
	reg := *y.Proxy.reg
	reg.Seq, reg.Version = 2, 2
	reg.Config = []byte(strings.Replace(strings.Replace(routes, `"r1"`, `"r2"`, 1), `"rate_per_s":500,"burst_size":500`, `"rate_per_s":0`, 1))
	y.server("i-1", 0, "ok")
	y.tell(&reg)
	return listen(b, y.Proxy.serveConnection)
}

// ask sends a request and reads its answer.
func ask(b *testing.B, c net.Conn, in *bufio.Reader, id int, more string) {
	io.WriteString(c, request("GET", "/read/1", fmt.Sprintf("id-%d", id), more, ""))
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		b.Fatal(err)
	}
	if r.StatusCode != http.StatusOK {
		b.Fatalf("request %d gets %d", id, r.StatusCode)
	}
	io.Copy(io.Discard, r.Body)
}

func dial(b *testing.B, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// BenchmarkRequest is a request on a connection that is kept.
func BenchmarkRequest(b *testing.B) {
	c, in := dial(b, benchProxy(b))
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		ask(b, c, in, i, "")
	}
}

// BenchmarkConnection is a connection of one request.
func BenchmarkConnection(b *testing.B) {
	address := benchProxy(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c, in := dial(b, address)
		ask(b, c, in, i, "Connection: close\r\n")
		c.Close()
	}
}

// BenchmarkKeptConnections is what a connection takes while it is idle, in bytes of heap and stacks.
func BenchmarkKeptConnections(b *testing.B) {
	const kept = 400
	address := benchProxy(b)
	inUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	for range b.N {
		before := inUse()
		var all []net.Conn
		for i := range kept {
			c, in := dial(b, address)
			ask(b, c, in, i, "")
			all = append(all, c)
		}
		b.ReportMetric(float64(inUse()-before)/kept, "B/connection")
		for _, c := range all {
			c.Close()
		}
	}
}
