package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// An answer that carries another call's number is not taken for this one's, and ends the connection.
func TestAnswerOfAnotherCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan int, 8)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- n
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				var q request
				for read(in, &q) == nil {
					if n == 0 { // a late answer to an earlier call comes first
						write(c, &response{ID: q.ID + 7, Body: Encode("late")})
					}
					write(c, &response{ID: q.ID, Body: Encode("own")})
				}
			}()
		}
	}()
	caller := NewCaller()
	var answer string
	err = caller.Call(context.Background(), l.Addr().String(), "x", "ask", &answer, time.Second)
	if !errors.Is(err, errOtherCall) || answer != "" {
		t.Errorf("%q %v", answer, err)
	}
	for range 3 {
		if err := caller.Call(context.Background(), l.Addr().String(), "x", "ask", &answer, time.Second); err != nil || answer != "own" {
			t.Errorf("%q %v", answer, err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, 2 wanted: the first one can't be trusted, the second one is kept", len(conns))
	}
}
