package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"example.org/madderdrum/handover"
	"example.org/madderdrum/limiter"
)

// predecessor is the connection to the previous process.
type predecessor struct {
	net.Conn
	in *bufio.Reader
}

func (p *predecessor) line() (string, error) {
	line, err := p.in.ReadString('\n')
	return strings.TrimSpace(line), err
}

// findPredecessor asks the process described in a note file to hand over. It returns nil if this process starts
// without predecessor.
func (n *Node) findPredecessor(ctx context.Context) *predecessor {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		note, err := n.readNote()
		if err != nil {
			if !errors.Is(err, fs.ErrNotExist) {
				n.log.Warn("starts fresh", "note", n.notePath(), "err", err)
			}
			return nil
		}
		p, err := dialPredecessor(ctx, note)
		if err == nil {
			return p
		}
		if !errors.Is(err, errTakeoverInProgress) {
			n.log.Info("starts fresh: no process hands over", "note", n.notePath(), "err", err)
			return nil
		}
		sleep(ctx, takeoverRetry)
	}
	n.log.Warn("starts fresh: another process is still taking over", "after", takeoverTimeout.String())
	return nil
}

// dialPredecessor asks the process described in a note to hand over.
func dialPredecessor(ctx context.Context, note handover.Note) (*predecessor, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", note.Admin)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	p := &predecessor{c, bufio.NewReader(c)}
	fmt.Fprintf(c, "%s %s\n", handoverCall, note.Token)
	line, err := p.line()
	if err == nil && line != "YES" {
		if err = fmt.Errorf("unexpected reply %.80q", line); strings.HasSuffix(line, errTakeoverInProgress.Error()) {
			err = errTakeoverInProgress
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return p, nil
}

// receiveState takes over the state. Before this call the old process decides, after it this one.
func (p *predecessor) receiveState(who handover.Who) (*handover.State, error) {
	requestedAt := time.Now()
	if _, err := fmt.Fprintln(p, takeLine); err != nil {
		return nil, err
	}
	var head handover.Header
	if _, err := io.ReadFull(p.in, head[:]); err != nil {
		return nil, fmt.Errorf("reading the state: %w", err)
	}
	size, err := head.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(p.in, data); err != nil {
		return nil, fmt.Errorf("reading the state: %w", err)
	}
	return handover.Decode(head, data, who, time.Since(requestedAt))
}

// takeOver takes over from a running process, if there is one: it opens this limiter's sockets, which the old
// one still uses, and receives its state.
func (n *Node) takeOver(ctx context.Context) (*predecessor, *handover.State, error) {
	p := n.findPredecessor(ctx)
	if err := n.listen(); err != nil {
		if p != nil {
			p.Close()
		}
		return nil, nil, err
	}
	if p == nil {
		return nil, nil, nil
	}
	if err := n.steerConnections(); err != nil {
		n.log.Warn("new connections still reach the process before", "err", err)
	}
	s, err := p.receiveState(n.upgrade.identity)
	if err != nil {
		p.Close()
		n.log.Warn("starts fresh: the process before did not hand over", "err", err)
		return nil, nil, nil
	}
	return p, s, nil
}

// steerConnections directs new connections to this process's sockets only. Among sockets sharing an address the
// kernel lets a BPF program choose: this one-instruction program selects index 1, which is this process until
// the first one is gone, and then no socket's index, which the kernel treats as no selection.
func (n *Node) steerConnections() error {
	prog := [1]unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	for _, ln := range n.listeners {
		raw, err := ln.(*net.TCPListener).SyscallConn()
		if err != nil {
			return err
		}
		var failed error
		if err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
				&unix.SockFprog{Len: 1, Filter: &prog[0]})
		}); err != nil {
			return err
		}
		if failed != nil {
			return failed
		}
	}
	return nil
}

// restoreState initializes the module with a predecessor's state.
func (n *Node) restoreState(state *handover.State) {
	known := n.cfg.InitialServers
	if list := state.ListFrom(n.cfg.Discovery); len(list) > 0 {
		var restored serverList
		if err := json.Unmarshal(list, &restored); err != nil {
			n.badInputLog.warn("can't decode the server list that was handed over", "err", err)
		} else {
			known = restored
			n.cfg.InitialServers = restored // the watch continues from there
		}
	}
	n.applyList(limiter.Persisted, known)
	n.dispatch(limiter.Recall{Memory: state.Memory})
	n.log.Info("took over from the process before", "accounts", len(state.Memory.Handover.Accounts),
		"servers", len(known.Hosts), "drained", state.Drained, "its_descriptors", state.Sockets)
}

// awaitPredecessorExit waits until the previous process has exited.
func (n *Node) awaitPredecessorExit(ctx context.Context, p *predecessor) {
	stop := context.AfterFunc(ctx, func() { p.Close() })
	defer stop()
	p.SetDeadline(time.Time{})
	io.Copy(io.Discard, p.in)
	p.Close()
	if ctx.Err() == nil {
		n.restoreLimits()
		n.log.Info("the process before has ended")
	}
}
