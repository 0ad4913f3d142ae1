package loopback

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	againTries = 500
	againPause = time.Millisecond
)

// listenAgain listens at an address whose socket was just closed here. A program that
// is being started has a copy of every socket until it is executed, and holds their
// ports for that moment, whose end nothing tells: hence the tries.
func listenAgain(addr string) (ln net.Listener, err error) {
	for range againTries {
		if ln, err = net.Listen("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(againPause)
	}
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	return ln, nil
}
