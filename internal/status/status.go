// Package status shows operators what a limiter knows, on an address of its own. It is
// read only, but for letting a benched plug-in back.
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// Plugin is a plug-in as one limiter sees it now. Counts are sums since it was loaded.
type Plugin struct {
	Name         string `json:"name"`
	Calls        uint64 `json:"calls"`
	Refused      uint64 `json:"refused"`       // requests that it has had refused
	Faults       uint64 `json:"faults"`        // calls that failed
	TimesBenched uint64 `json:"times_benched"` // after faults in a row
	BenchedForMs int64  `json:"benched_for_ms"`
	Skipped      uint64 `json:"skipped"` // requests that went by it while it was benched
	Busy         uint64 `json:"busy"`    // ... while it had no instance free, or no call left in that second
	Instances    int    `json:"instances"`
	Counters     int    `json:"counters"`
	LastFault    string `json:"last_fault,omitempty"`
}

// Label is what became of the requests that plug-ins gave a label.
type Label struct {
	Label   string `json:"label"`
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
}

// PluginState is what GET /plugins answers.
type PluginState struct {
	Limiter string   `json:"limiter"`
	Plugins []Plugin `json:"plugins"`
	Labels  []Label  `json:"labels"`
}

// Sources tell what is shown. They are called by several goroutines at once.
type Sources struct {
	Tiers   func() State
	Plugins func() PluginState
	Reset   func(plugin string) bool // lets it back, and tells whether there is one of that name
}

// ResetHeader has to stand in a POST, with any value: a page in an operator's browser can't
// add it for a foreign address.
const ResetHeader = "X-Madderdrum-Reset"

// Server answers on one address. Make one with [Listen].
type Server struct {
	listener net.Listener
	server   *http.Server
}

const (
	headerTimeout  = 2 * time.Second
	maxHeaderBytes = 8 << 10 // bytes
	maxConnections = 16      // at once; more wait: who looks on must not take the sockets of those who send
)

// Listen takes an address, host:port.
func Listen(addr string, from Sources, logger *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tiers", func(w http.ResponseWriter, r *http.Request) { s := from.Tiers(); writeAnswer(w, r, s, s.writeTable) })
	mux.HandleFunc("GET /plugins", func(w http.ResponseWriter, r *http.Request) { s := from.Plugins(); writeAnswer(w, r, s, s.writeTable) })
	mux.HandleFunc("POST /plugins/{name}/reset", func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get(ResetHeader) == "":
			http.Error(w, "needs the header "+ResetHeader, http.StatusForbidden)
		case !from.Reset(r.PathValue("name")):
			http.Error(w, "there is no such plug-in", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return &Server{listener: netutil.LimitListener(ln, maxConnections), server: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: headerTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug)}}, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run answers until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// answer writes JSON, or a table for those that ask for text.
func writeAnswer(w http.ResponseWriter, r *http.Request, s any, table func(w io.Writer)) {
	w.Header().Set("Cache-Control", "no-store")
	if strings.Contains(r.Header.Get("Accept"), "text/plain") || r.URL.Query().Get("format") == "text" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		table(t)
		t.Flush()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	e.Encode(s) // what can't be written has nobody who waits for it
}

func (s State) writeTable(w io.Writer) {
	fmt.Fprintf(w, "limiter %s\npool\ttier\tphase\tshare\tspilled\tusable\tnext\n", s.Limiter)
	for _, x := range s.Tiers {
		phase := x.Phase
		if x.Sole {
			phase += ", sole"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%.0f%%\t%d of %d\t%s\n", x.Pool, x.Tier, phase, 100*x.Share, 100*x.Spilled, x.Usable, x.Boxes, x.Next)
	}
}

func (s PluginState) writeTable(w io.Writer) {
	fmt.Fprintf(w, "limiter %s\nplug-in\tstate\tcalls\trefused\tfaults\tbenched\tskipped\tbusy\tinstances\tcounters\tlast fault\n", s.Limiter)
	for _, x := range s.Plugins {
		state := "asked"
		if x.BenchedForMs > 0 {
			state = fmt.Sprintf("benched for %.1f s", float64(x.BenchedForMs)/1000)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", x.Name, state, x.Calls, x.Refused, x.Faults, x.TimesBenched, x.Skipped, x.Busy, x.Instances, x.Counters, cmp.Or(x.LastFault, "-"))
	}
	if len(s.Labels) > 0 {
		fmt.Fprintf(w, "\nlabel\tserved\trefused\tfailed\n")
	}
	for _, x := range s.Labels {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", x.Label, x.Served, x.Refused, x.Failed)
	}
}
