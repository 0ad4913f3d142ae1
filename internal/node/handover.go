package node

import (
	"bufio"
	"crypto/subtle"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"time"

	"example.org/madderdrum/handover"
	"example.org/madderdrum/lifecycle"
)

// serveHandover handles the call by which the next process requests the hand-over.
func (n *Node) serveHandover(args []string, c net.Conn, in *bufio.Reader) {
	if len(args) != 1 || subtle.ConstantTimeCompare([]byte(args[0]), []byte(n.upgrade.token)) != 1 {
		io.WriteString(c, "NO this is no token of this process\n")
		return
	}
	n.mu.Lock()
	err := n.life.Ready()
	n.mu.Unlock()
	if err != nil {
		fmt.Fprintf(c, "NO %v\n", err)
		return
	}
	if !n.upgrade.takeoverInProgress.CompareAndSwap(false, true) {
		fmt.Fprintf(c, "NO %v\n", errTakeoverInProgress)
		return
	}
	if err := n.handOver(c, in); err != nil {
		n.log.Warn("goes on: the new process did not take over", "err", err)
		n.upgrade.takeoverInProgress.Store(false)
		return
	}
	n.log.Info("a new process has taken over")
	close(n.upgrade.replaced)
	<-n.upgrade.runEnded // the end of the connection signals the end of this process
}

// handOver sends the state to the process on a connection. After an error this process continues as before.
func (n *Node) handOver(c net.Conn, in *bufio.Reader) error {
	c.SetDeadline(time.Now().Add(handoverStepTimeout))
	if _, err := io.WriteString(c, "YES\n"); err != nil {
		return err
	}
	if line, err := in.ReadString('\n'); err != nil || strings.TrimSpace(line) != takeLine {
		return fmt.Errorf("unexpected reply %.20q (%v)", line, err)
	}
	state, err := n.freeze()
	if err != nil {
		return err
	}
	accepted := false
	defer func() {
		if !accepted {
			n.thaw()
		}
	}()
	frame, err := state.Encode()
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(handoverStepTimeout))
	if _, err := c.Write(frame); err != nil {
		return err
	}
	line, err := in.ReadString('\n')
	if accepted = err == nil && strings.TrimSpace(line) == takenLine; !accepted {
		return fmt.Errorf("unexpected reply %.20q (%v)", line, err)
	}
	c.SetDeadline(time.Time{})
	if n.peers != nil {
		n.peers.conn.Close() // the new process uses the address
	}
	return nil
}

// freeze captures the state; from this moment on the new process decides.
func (n *Node) freeze() (*handover.State, error) {
	state := &handover.State{Who: n.upgrade.identity}
	err := n.updateLife(func(l *lifecycle.Process) error {
		if err := l.HandOver(time.Now()); err != nil {
			return err
		}
		now := n.now()
		state.Memory = n.limiter.HandOver(now)
		state.Memory.Handover.Accounts, _ = n.limiter.Leave(now, math.MaxInt)
		state.Discovery, state.List, state.Drained = n.upgrade.listAgent, n.upgrade.encodeList(), l.Drained()
		n.upgrade.frozen = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	n.conns.endUnused(0, math.MaxInt64)
	n.servers.closeAllIdle()
	state.Sockets = n.conns.openCount() + n.servers.openCount() + reservedSockets
	n.reduceLimits(state.Sockets)
	return state, nil
}

// thaw resumes operation after a hand-over that failed.
func (n *Node) thaw() {
	n.updateLife(func(l *lifecycle.Process) error {
		l.AbortHandover(time.Now())
		n.upgrade.frozen = false
		return nil
	})
	n.restoreLimits()
}
