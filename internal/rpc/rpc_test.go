package rpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// A response that carries the ID of another call is not returned to the caller, and closes the connection.
func TestAnswerOfAnotherCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conns := make(chan int, 8)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- n
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				var req request
				for readFrame(in, &req) == nil {
					if n == 0 { // a late response to an earlier call comes first
						writeFrame(conn, &response{ID: req.ID + 7, Body: Encode("late")})
					}
					writeFrame(conn, &response{ID: req.ID, Body: Encode("own")})
				}
			}()
		}
	}()
	caller := NewCaller()
	var result string
	err = caller.Call(context.Background(), listener.Addr().String(), "x", "ask", &result, time.Second)
	if !errors.Is(err, errWrongCallID) || result != "" {
		t.Errorf("%q %v", result, err)
	}
	for range 3 {
		if err := caller.Call(context.Background(), listener.Addr().String(), "x", "ask", &result, time.Second); err != nil || result != "own" {
			t.Errorf("%q %v", result, err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, 2 wanted: the first is closed after the wrong ID, the second is reused", len(conns))
	}
}
