// Package status serves a limiter's view of tiers and plug-ins to operators over HTTP, on a
// separate address. It is read-only except for resetting a benched plug-in.
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

// Tier is the state of a tier of a pool as seen by one limiter.
type Tier struct {
	Pool    string  `json:"pool"`
	Tier    string  `json:"tier"`
	Phase   string  `json:"phase"` // well, returning, held down, failing, slow or lost
	Sole    bool    `json:"sole"`  // no tier is well; this one receives all traffic that it can take
	Share   float64 `json:"share"` // fraction of the requests that the tier is eligible for
	Spilled float64 `json:"spilled"`
	Boxes   int     `json:"boxes"`
	Usable  int     `json:"usable"`
	Next    string  `json:"next"` // the condition that changes the share next
}

// State is the response to GET /tiers.
type State struct {
	Limiter string `json:"limiter"`
	Tiers   []Tier `json:"tiers"`
}

// Plugin is the state of a plug-in in one limiter. Counters start at zero when it is loaded.
type Plugin struct {
	Name         string `json:"name"`
	Calls        uint64 `json:"calls"`
	Refused      uint64 `json:"refused"`       // requests that were refused on its advice
	Faults       uint64 `json:"faults"`        // calls that failed
	TimesBenched uint64 `json:"times_benched"` // each time after consecutive faults
	BenchedForMs int64  `json:"benched_for_ms"`
	Skipped      uint64 `json:"skipped"` // requests decided without it while it was benched
	Busy         uint64 `json:"busy"`    // requests decided without it because no instance was free or its call rate was exceeded
	Instances    int    `json:"instances"`
	Counters     int    `json:"counters"`
	LastFault    string `json:"last_fault,omitempty"`
}

// Label counts, by outcome, the requests that plug-ins gave a label.
type Label struct {
	Label   string `json:"label"`
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
}

// PluginState is the response to GET /plugins.
type PluginState struct {
	Limiter string   `json:"limiter"`
	Plugins []Plugin `json:"plugins"`
	Labels  []Label  `json:"labels"`
}

// Sources are the functions that supply the data. They are called concurrently.
type Sources struct {
	Tiers   func() State
	Plugins func() PluginState
	Reset   func(plugin string) bool // ends the benching of a plug-in; false if there is no plug-in of that name
}

// ResetHeader is required in a POST, with any value, against cross-site request forgery: a web
// page can't set it in requests to another origin.
const ResetHeader = "X-Madderdrum-Reset"

// Server serves the status over HTTP. Create one with [Listen].
type Server struct {
	listener net.Listener
	server   *http.Server
}

const (
	headerTimeout  = 2 * time.Second
	maxHeaderBytes = 8 << 10 // bytes
	maxConnections = 16      // further ones wait, so that operators' connections don't use up the sockets for clients
)

// Listen returns a Server that listens on addr (host:port); [Server.Run] serves requests.
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

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// writeAnswer writes s as JSON, or as a table if the request asks for plain text.
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
	e.Encode(s) // an error means that the client has disconnected
}

func (s State) writeTable(w io.Writer) {
	fmt.Fprintf(w, "limiter %s\npool\ttier\tphase\tshare\tspilled\tusable\tnext\n", s.Limiter)
	for _, tier := range s.Tiers {
		phase := tier.Phase
		if tier.Sole {
			phase += ", sole"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%.0f%%\t%d of %d\t%s\n", tier.Pool, tier.Tier, phase, 100*tier.Share, 100*tier.Spilled, tier.Usable, tier.Boxes, tier.Next)
	}
}

func (s PluginState) writeTable(w io.Writer) {
	fmt.Fprintf(w, "limiter %s\nplug-in\tstate\tcalls\trefused\tfaults\tbenched\tskipped\tbusy\tinstances\tcounters\tlast fault\n", s.Limiter)
	for _, plugin := range s.Plugins {
		state := "asked"
		if plugin.BenchedForMs > 0 {
			state = fmt.Sprintf("benched for %.1f s", float64(plugin.BenchedForMs)/1000)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", plugin.Name, state, plugin.Calls, plugin.Refused, plugin.Faults, plugin.TimesBenched, plugin.Skipped, plugin.Busy, plugin.Instances, plugin.Counters, cmp.Or(plugin.LastFault, "-"))
	}
	if len(s.Labels) > 0 {
		fmt.Fprintf(w, "\nlabel\tserved\trefused\tfailed\n")
	}
	for _, label := range s.Labels {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", label.Label, label.Served, label.Refused, label.Failed)
	}
}
