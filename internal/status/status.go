// Package status shows operators what a limiter knows, on an address of its own. It is
// read only.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/net/netutil"
)

// Tier is a tier of a pool as one limiter sees it now.
type Tier struct {
	Pool    string  `json:"pool"`
	Tier    string  `json:"tier"`
	Phase   string  `json:"phase"` // well, returning, held down, failing, slow or lost
	Sole    bool    `json:"sole"`  // no tier is well, and this one takes all that it can
	Share   float64 `json:"share"` // of the requests that it may take
	Spilled float64 `json:"spilled"`
	Boxes   int     `json:"boxes"`
	Usable  int     `json:"usable"`
	Next    string  `json:"next"` // what changes the share
}

// State is what GET /tiers answers.
type State struct {
	Limiter string `json:"limiter"`
	Tiers   []Tier `json:"tiers"`
}

// Server answers on one address. Make one with [Listen].
type Server struct {
	ln  net.Listener
	web *http.Server
}

const (
	headTimeout = 2 * time.Second
	mostHead    = 8 << 10 // bytes
	mostConns   = 16      // at once; more wait: who looks on must not take the sockets of those who send
)

// Listen takes an address, host:port. state is called for each question, by several
// goroutines at once.
func Listen(addr string, state func() State, logger *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tiers", func(w http.ResponseWriter, r *http.Request) { answer(w, r, state()) })
	return &Server{ln: netutil.LimitListener(ln, mostConns), web: &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout,
		WriteTimeout: headTimeout, IdleTimeout: headTimeout, MaxHeaderBytes: mostHead, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug)}}, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Run answers until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.web.Close() })
	defer stop()
	if err := s.web.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// answer writes JSON, or a table for those that ask for text.
func answer(w http.ResponseWriter, r *http.Request, s State) {
	w.Header().Set("Cache-Control", "no-store")
	if strings.Contains(r.Header.Get("Accept"), "text/plain") || r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "limiter %s\npool\ttier\tphase\tshare\tspilled\tusable\tnext\n", s.Limiter)
		for _, x := range s.Tiers {
			phase := x.Phase
			if x.Sole {
				phase += ", sole"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%.0f%%\t%.0f%%\t%d of %d\t%s\n", x.Pool, x.Tier, phase, 100*x.Share, 100*x.Spilled, x.Usable, x.Boxes, x.Next)
		}
		t.Flush()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(s) // what can't be written has nobody who waits for it
}
