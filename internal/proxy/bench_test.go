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

// startBenchProxy starts a limiter with one server that answers at once, and returns the address for clients.
func startBenchProxy(b *testing.B) (address string) {
	proxy := newTestProxy(b)
	register := *proxy.Proxy.register
	register.Seq, register.Version = 2, 2
	register.Config = []byte(strings.Replace(strings.Replace(routes, `"r1"`, `"r2"`, 1), `"rate_per_s":500,"burst_size":500`, `"rate_per_s":0`, 1))
	proxy.server("i-1", 0, "ok")
	proxy.deliver(&register)
	return listen(b, proxy.Proxy.serveConnection)
}

// sendRequest sends a request and reads its answer.
func sendRequest(b *testing.B, c net.Conn, in *bufio.Reader, id int, headers string) {
	io.WriteString(c, request("GET", "/read/1", fmt.Sprintf("id-%d", id), headers, ""))
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		b.Fatal(err)
	}
	if r.StatusCode != http.StatusOK {
		b.Fatalf("request %d: status %d", id, r.StatusCode)
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

// BenchmarkRequest measures a request on a kept-alive connection.
func BenchmarkRequest(b *testing.B) {
	c, in := dial(b, startBenchProxy(b))
	defer c.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		sendRequest(b, c, in, i, "")
	}
}

// BenchmarkConnection measures a connection that carries one request.
func BenchmarkConnection(b *testing.B) {
	address := startBenchProxy(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c, in := dial(b, address)
		sendRequest(b, c, in, i, "Connection: close\r\n")
		c.Close()
	}
}

// BenchmarkKeptConnections measures the heap and stack bytes of an idle connection.
func BenchmarkKeptConnections(b *testing.B) {
	const kept = 400
	address := startBenchProxy(b)
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
			sendRequest(b, c, in, i, "")
			all = append(all, c)
		}
		b.ReportMetric(float64(inUse()-before)/kept, "B/connection")
		for _, c := range all {
			c.Close()
		}
	}
}
