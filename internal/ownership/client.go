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

// Call makes one call on a limiter's operators' address, with a request behind it or nil, and
// returns the answer. The whole of it takes no longer than so long.
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

// of tells which fleet an answer comes from.
type fleetAnswer interface{ fleet() string }

func (x Standing) fleet() string      { return x.Fleet }
func (x CeilingDemand) fleet() string { return x.Fleet }

// around asks all limiters of this fleet at once, and has each answer taken in, one after the
// other. Who does not answer in time, or is in another fleet, is left out.
func askAll[T fleetAnswer](ctx context.Context, s *Service, verb string, took func(position int, name string, x T)) {
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for position, name := range s.options.Limiters {
		addr := s.options.Admins[name]
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
			took(position, name, x)
		})
	}
	tasks.Wait()
}
