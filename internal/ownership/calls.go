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

// Name is the first word of fleet calls on the admin address.
const Name = "fleet"

const maxRequestBytes = 64 << 10

// Request holds the arguments of an operator's call: one line of JSON after the line of the call.
type Request struct {
	Voters  []string      `json:",omitempty"` // init
	Anew    bool          `json:",omitempty"`
	Limiter string        `json:",omitempty"` // add, remove, transfer
	Duty    string        `json:",omitempty"` // transfer, resign
	Plan    *rollout.Plan `json:",omitempty"` // roll
}

// requestHandlers has the verbs that take a Request.
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
	"halt": func(s *Service, ctx context.Context, _ Request) error { return s.ControlRollout(ctx, rollout.OpHalt) },
	"continue": func(s *Service, ctx context.Context, _ Request) error {
		return s.ControlRollout(ctx, rollout.OpContinue)
	},
	"end": func(s *Service, ctx context.Context, _ Request) error { return s.ControlRollout(ctx, rollout.OpEnd) },
}

// Serve answers one call on the admin address. It has the signature of admin.Stream.
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

// handleCall executes a call and returns the text of the answer.
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
		x := s.options.Limiter.LimiterStatus()
		x.Fleet = s.fleetID()
		return show(x)
	case "asked":
		return show(CeilingDemand{s.fleetID(), s.self.Start, s.options.Limiter.DemandReports()})
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
	var prefix []byte
	// The reader's buffer is sized for the line of a call, so a request may need several reads.
	for errors.Is(err, bufio.ErrBufferFull) && len(prefix) < maxRequestBytes {
		prefix = append(prefix, b...)
		b, err = in.ReadSlice('\n')
	}
	if err != nil {
		return "", fmt.Errorf("a line of JSON was to follow: %w", err)
	}
	var r Request
	if err := json.Unmarshal(append(prefix, b...), &r); err != nil {
		return "", fmt.Errorf("a line of JSON was to follow: %w", err)
	}
	return "YES\n", ask(s, ctx, r)
}

// executeCall carries out a call of the rollout's owner, if its fencing token is valid and it names this
// process.
func (s *Service) executeCall(ctx context.Context, v rollout.Verb, t tenure.Token, start uint64) error {
	if t.Duty != rollout.Duty {
		return fmt.Errorf("token %v is not one of rollouts", t)
	}
	return s.admit(ctx, t, func() error {
		if start != s.self.Start {
			return fmt.Errorf("it means process %d, this is %d", start, s.self.Start)
		}
		s.log.Info("executing a rollout call", "verb", string(v), "token", t.String())
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
