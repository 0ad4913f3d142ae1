package ownership

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"example.org/madderdrum/rollout"
	"example.org/madderdrum/tenure"
)

// Name is the word that calls about the fleet begin with on the operators' address.
const Name = "fleet"

const maxRequestBytes = 64 << 10

// Request is what operators want, one line of JSON behind the call's own line.
type Request struct {
	Voters  []string      `json:",omitempty"` // init
	Anew    bool          `json:",omitempty"`
	Limiter string        `json:",omitempty"` // add, remove, transfer
	Duty    string        `json:",omitempty"` // transfer, resign
	Plan    *rollout.Plan `json:",omitempty"` // roll
}

// verbs that take a Request.
var requestHandlers = map[string]func(s *Service, ctx context.Context, r Request) error{
	"init": func(s *Service, ctx context.Context, r Request) error {
		if r.Anew {
			return s.ForceNewFleet(ctx)
		}
		return s.Bootstrap(ctx, r.Voters)
	},
	"add":      func(s *Service, ctx context.Context, r Request) error { return s.SetVoter(ctx, r.Limiter, true) },
	"remove":   func(s *Service, ctx context.Context, r Request) error { return s.SetVoter(ctx, r.Limiter, false) },
	"transfer": func(s *Service, ctx context.Context, r Request) error { return s.Transfer(ctx, r.Duty, r.Limiter) },
	"resign":   func(s *Service, _ context.Context, r Request) error { return s.Resign(r.Duty) },
	"roll": func(s *Service, ctx context.Context, r Request) error {
		if r.Plan == nil {
			return errors.New("it needs a plan")
		}
		return s.StartRollout(ctx, *r.Plan)
	},
	"halt":     func(s *Service, ctx context.Context, _ Request) error { return s.ControlRollout(ctx, rollout.Halt) },
	"continue": func(s *Service, ctx context.Context, _ Request) error { return s.ControlRollout(ctx, rollout.GoOn) },
	"end":      func(s *Service, ctx context.Context, _ Request) error { return s.ControlRollout(ctx, rollout.End) },
}

// Serve answers one call; its signature is that of admin.Stream.
func (s *Service) Serve(args []string, c net.Conn, in *bufio.Reader) {
	c.SetDeadline(time.Now().Add(operatorCallTimeout + time.Second))
	ctx, done := context.WithTimeout(context.Background(), operatorCallTimeout)
	defer done()
	answer, err := s.handleCall(ctx, args, in)
	if err != nil {
		answer = "NO " + err.Error() + "\n"
	}
	io.WriteString(c, answer)
}

func (s *Service) handleCall(ctx context.Context, args []string, in *bufio.Reader) (string, error) {
	if len(args) == 0 {
		return "", errors.New("fleet what? status, owners, history, init, add, remove, transfer, resign, roll, halt, continue or end")
	}
	show := func(x any) (string, error) {
		b, err := json.Marshal(x)
		return string(b) + "\n", err
	}
	switch args[0] {
	case "self":
		x := s.options.Limiter.Standing()
		x.Fleet = s.fleetID()
		return show(x)
	case "asked":
		return show(CeilingDemand{s.fleetID(), s.self.Start, s.options.Limiter.Asked()})
	case "status":
		return show(s.Status())
	case "owners":
		return show(s.Owners())
	case "history":
		return show(s.History())
	case "drain", "resume", "leave":
		t, start, err := s.parseCallTarget(args[1:])
		if err != nil {
			return "", err
		}
		return "YES\n", s.executeCall(ctx, rollout.Verb(args[0]), t, start)
	}
	ask := requestHandlers[args[0]]
	if ask == nil {
		return "", fmt.Errorf("there is no call fleet %.20q", args[0])
	}
	b, err := in.ReadSlice('\n')
	var long []byte
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < maxRequestBytes { // the reader is the short one of calls
		long = append(long, b...)
		b, err = in.ReadSlice('\n')
	}
	if err != nil {
		return "", fmt.Errorf("a line of JSON was to follow: %w", err)
	}
	var r Request
	if err := json.Unmarshal(append(long, b...), &r); err != nil {
		return "", fmt.Errorf("a line of JSON was to follow: %w", err)
	}
	return "YES\n", ask(s, ctx, r)
}

// effect carries out a conductor's call, if its token holds and it means this process.
func (s *Service) executeCall(ctx context.Context, v rollout.Verb, t tenure.Token, start uint64) error {
	if t.Duty != rollout.Duty {
		return fmt.Errorf("token %v is not one of rollouts", t)
	}
	return s.admit(ctx, t, func() error {
		if start != s.self.Start {
			return fmt.Errorf("it means process %d, this is %d", start, s.self.Start)
		}
		s.log.Info("a rollout's call", "verb", string(v), "token", t.String())
		switch v {
		case rollout.CallDrain:
			return s.options.Limiter.Drain()
		case rollout.CallResume:
			return s.options.Limiter.Resume()
		}
		s.options.Limiter.Leave()
		return nil
	})
}
