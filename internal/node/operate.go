package node

import (
	"context"
	"maps"
	"time"

	"example.org/madderdrum/internal/admin"
	"example.org/madderdrum/lifecycle"
)

// unusedPollInterval is how often connections without a request are checked while they are being closed.
const unusedPollInterval = 50 * time.Millisecond

// listenAdmin opens the admin address, if one is configured.
func (n *Node) listenAdmin() (err error) {
	if n.cfg.AdminAddr == "" {
		return nil
	}
	warnings := &boundedLog{to: n.log}
	streams := maps.Clone(n.cfg.Streams)
	if streams == nil {
		streams = map[string]admin.Stream{}
	}
	streams[handoverCall] = n.serveHandover
	n.admin, err = admin.Listen(n.cfg.AdminAddr, map[string]admin.Call{
		"ready":     n.answerReady,
		"show-stat": n.answerFigures,
		"drain":     n.answerDrain,
		"resume":    n.answerResume,
	}, streams, warnings.warn)
	n.upgrade = newUpgrade(n.cfg)
	return err
}

// AdminAddr returns the admin address, or "" if there is none.
func (n *Node) AdminAddr() string {
	if n.admin == nil {
		return ""
	}
	return n.admin.Addr().String()
}

// updateLife changes the lifecycle state of this process and applies the consequences.
func (n *Node) updateLife(change func(*lifecycle.Process) error) error {
	n.mu.Lock()
	before := n.life.Phase()
	err := change(&n.life)
	phase := n.life.Phase()
	n.closing.Store(n.life.ClosesConnections())
	n.mu.Unlock()
	if phase != before {
		n.log.Info("phase", "is", phase.String(), "was", before.String())
		select {
		case n.phaseChanged <- struct{}{}:
		default:
		}
	}
	return err
}

func (n *Node) answerReady([]string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.life.Ready(); err != nil {
		return "", err
	}
	return "YES " + n.life.Phase().String() + "\n", nil
}

func (n *Node) answerFigures([]string) (string, error) {
	jsonLine, err := n.Figures().jsonLine()
	return jsonLine + "END\n", err
}

func (n *Node) answerDrain([]string) (string, error) { return admin.Yes, n.Drain() }

func (n *Node) answerResume([]string) (string, error) { return admin.Yes, n.Resume() }

// Drain starts draining: clients are asked to leave.
func (n *Node) Drain() error {
	return n.updateLife(func(l *lifecycle.Process) error { return l.Drain(time.Now()) })
}

// Resume ends a drain.
func (n *Node) Resume() error {
	return n.updateLife(func(l *lifecycle.Process) error { return l.Resume(time.Now()) })
}

// Phase returns the lifecycle phase of this process, and whether load balancers should send clients to it.
func (n *Node) Phase() (phase lifecycle.Phase, healthy bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limiter.Prepared(n.now()) {
		n.life.Prepared()
	}
	return n.life.Phase(), n.life.Healthy()
}

// closeUnusedConns closes connections without a request while the lifecycle state requires it, until the
// context ends. It sleeps while the limiter serves.
func (n *Node) closeUnusedConns(ctx context.Context) {
	for ctx.Err() == nil {
		n.mu.Lock()
		fresh, idle, bounded := n.life.IdleTimeouts(time.Now())
		closing := n.life.ClosesConnections() && n.life.Phase() != lifecycle.Stopping // stopping is handled by shutDown
		n.mu.Unlock()
		if closing && bounded {
			n.conns.endUnused(idle, fresh)
		}
		var poll <-chan time.Time
		if closing {
			poll = time.After(unusedPollInterval)
		}
		select {
		case <-n.phaseChanged:
		case <-poll:
		case <-ctx.Done():
		}
	}
}

// handedOver reports whether another process has taken over from this one. The node's mutex is held.
func (n *Node) handedOver() bool { return n.upgrade != nil && n.upgrade.frozen }

// lateRequests returns how many requests this process has admitted after it handed its state over.
func (n *Node) lateRequests() int {
	if n.upgrade == nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upgrade.lateRequests
}

// endBy returns t, or the time when this process stops if that is earlier. The node's mutex is held.
func (n *Node) endBy(t time.Time) time.Time {
	if by := n.life.StopDeadline(); !by.IsZero() && by.Before(t) {
		return by
	}
	return t
}

// countEnd counts the end of a request that was not delivered.
func (n *Node) countEnd(v *revision, class, status int) { v.endCounts[class].add(status) }
