package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// fullBacklog takes a port so that connects to it are never answered: its queue of
// connections is full, and the kernel drops what comes then.
type fullBacklog struct {
	fd   int
	addr string

	mu    sync.Mutex
	over  bool
	conns []net.Conn
}

const (
	fillMost = 8 // more than the queue of a fullBacklog holds
	fillTime = 20 * time.Millisecond
)

func newFullBacklog(ip net.IP, port int) (*fullBacklog, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("loopback: a silent port: %w", os.NewSyscallError("socket", err))
	}
	sa := &syscall.SockaddrInet4{Port: port}
	copy(sa.Addr[:], ip.To4())
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		syscall.Close(fd)
		return nil, fmt.Errorf("loopback: a silent port: %w", err)
	}
	return &fullBacklog{fd: fd, addr: net.JoinHostPort(ip.String(), strconv.Itoa(port))}, nil
}

// fill takes up the queue, until a connect is not answered any more.
func (f *fullBacklog) fill() {
	for range fillMost {
		c, err := net.DialTimeout("tcp", f.addr, fillTime)
		if err != nil {
			return
		}
		f.mu.Lock()
		if f.over {
			c.Close()
		} else {
			f.conns = append(f.conns, c)
		}
		over := f.over
		f.mu.Unlock()
		if over {
			return
		}
	}
}

func (f *fullBacklog) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
	for _, c := range f.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
	}
	syscall.Close(f.fd)
}
