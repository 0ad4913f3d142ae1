package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const maxAnswerBytes = 8 << 20 // bytes

// Call makes one call on a limiter's admin address, followed by a request unless that is nil, and
// returns the answer. The timeout within covers the whole call.
func Call(ctx context.Context, addr, verb string, r *Request, within time.Duration) (string, error) {
	c, err := (&net.Dialer{Timeout: min(within, time.Second)}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	line := Name + " " + verb + "\n"
	if r != nil {
		b, err := json.Marshal(r)
		if err != nil {
			return "", err
		}
		line += string(b) + "\n"
	}
	if _, err := io.WriteString(c, line); err != nil {
		return "", err
	}
	b, err := io.ReadAll(io.LimitReader(c, maxAnswerBytes))
	if err == nil && len(b) == 0 {
		err = errors.New("it closed the connection with no answer")
	}
	return string(b), err
}

// fleetAnswer is an answer that names the fleet of its sender.
type fleetAnswer interface{ fleet() string }

func (x LimiterStatus) fleet() string { return x.Fleet }
func (x CeilingDemand) fleet() string { return x.Fleet }

// askAll calls all limiters of this fleet concurrently and passes each answer to handle, one at a time.
// A limiter that does not answer in time, or is in another fleet, is skipped.
func askAll[T fleetAnswer](ctx context.Context, s *Service, verb string, handle func(position int, name string, x T)) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for position, name := range s.options.Limiters {
		addr := s.options.AdminAddrs[name]
		if addr == "" {
			continue
		}
		tasks.Go(func() {
			var x T
			answer, err := Call(ctx, addr, verb, nil, peerCallTimeout)
			if err != nil || json.Unmarshal([]byte(answer), &x) != nil || x.fleet() != s.fleetID() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			handle(position, name, x)
		})
	}
	tasks.Wait()
}
