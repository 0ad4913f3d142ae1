// Package config implements the configuration language of deployments: HCL with units,
// includes, variables, routes, pools and policies. It reads files from an [fs.FS],
// resolves references, validates the configuration as a whole, and reports every error
// with its position and a suggested fix. [Diff] compares the meaning of two versions, and
// [Format] writes a file in its canonical layout.
//
// A single schema defines all blocks and fields. The checker, the diff and the reference
// page are driven by it.
package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"example.org/madderdrum/deploy"
	"example.org/madderdrum/internal/fleet"
	"example.org/madderdrum/plugin"
	"example.org/madderdrum/route"
)

// Config is a configuration that was loaded and validated. It is immutable.
type Config struct {
	Fleet       *fleet.Fleet
	Pools       []Pool
	Routes      []Route
	Listeners   []Listener
	ForwardAuth []ForwardAuth
	Plugins     []plugin.Spec // sorted by name
	Memory      Memory
	Duties      Duties
	Files       []string // display names of the files read, in reading order

	settings []setting
	places   map[string]hcl.Range
}

// Pool is a group of backend boxes that routes send requests to.
type Pool struct {
	Name      string
	Boxes     []int       // indexes into Fleet.Boxes, ascending
	Discovery string      // address of the discovery agent that lists further boxes; empty: none
	Tiers     fleet.Tiers // sorted by rank; empty: all boxes are equally preferred
}

// Route sends the requests that match its conditions to a pool.
type Route struct {
	Name     string
	Match    route.Match
	Pool     int           // index into Config.Pools; -1 if no pools are defined
	Class    int           // index into Fleet.Classes, for requests that name no class; -1: none
	Deadline time.Duration // 0: the deadline of the class
	Attempts int           // 0: the limit of the rules block
	MaxBody  int           // bytes; -1: the protocol's limit
	Plugins  []string      // names of the plug-ins to call; nil: all
}

// Listener is an additional client-facing address of a limiter.
type Listener struct {
	Name, Address string
	Limiter       int
}

// Memory configures how limiters persist their learned state. Without a folder nothing is
// persisted.
type Memory struct {
	Folder           string
	SnapshotInterval time.Duration
	MaxBytes         int64 // bytes
}

// Duties configures how limiters agree on the owners of fleet-wide duties. Without a
// folder they do not.
type Duties struct {
	Label  string
	Folder string
	Voters []string // initial voting members
	Term   time.Duration
	Drift  float64
	// How ceilings are divided among limiters: "equal", or "steward".
	Ceilings string
	// Who runs health checks and discovery: "each" limiter for itself, or one per "room".
	Watch string
}

// ForwardAuth is the listener where other proxies send authorization requests to a limiter.
type ForwardAuth struct {
	Limiter, Listen, KeysFile string
	MaxLeases, MaxPending     int
	TLS                       *TLS
	Proxies                   []Proxy
}

// TLS names the certificate, key and client CA files of a listener.
type TLS struct{ Cert, Key, ClientCA string }

// Proxy describes one kind of proxy that sends authorization requests.
type Proxy struct {
	Name, Dialect, Mode, SecretFile, SecretHeader, PathPrefix string
	From, CertNames                                           []string
	Lease, DefaultTimeout                                     time.Duration
	HeaderNames                                               map[string]string // header names, keyed by the field of the headers block
	Routes                                                    []ProxyRoute
}

// ProxyRoute gives the class, plan and units of requests under a path that lack the headers.
type ProxyRoute struct {
	Path, Method, Class, Plan string
	Units                     float64
}

// Load reads and validates a configuration that may have several root files. vars maps
// variable names to values. The Config is nil if the report has errors; the report is
// never nil. Time and memory are proportional to the size of the files, which is bounded.
func Load(roots []Root, vars map[string]string) (*Config, *Report) {
	return load(roots, vars, defaultLimits)
}

func load(roots []Root, vars map[string]string, limits loadLimits) (*Config, *Report) {
	report := newReport()
	ld := &loader{Report: report, loadLimits: limits, includedAt: map[string]hcl.Range{}}
	for _, root := range roots {
		ld.loadFile(root, root.Name, nil, hcl.Range{})
	}
	dec := &decoder{scope: &scope{Report: report, vars: map[string]*namedValue{}, locals: map[string]*namedValue{}}, byName: map[string]map[string]*parsedBlock{}}
	for name, text := range vars {
		dec.vars[name] = &namedValue{value: textValue(text), state: 2}
	}
	unreadable := len(report.Diagnostics) > 0
	dec.decode(ld.files)
	for name := range vars {
		if dec.vars[name].at.Filename == "" {
			at := hcl.Range{Start: hcl.InitialPos, End: hcl.InitialPos}
			if len(roots) > 0 {
				at.Filename = roots[0].DisplayPrefix + roots[0].Name
			}
			dec.add("unknown-variable", at, fmt.Sprintf("add variable %q {}, or take --var %s away", name, name), "a value is given for the variable %q, which is not defined", name)
		}
	}
	cfg := (&builder{decoder: dec, files: ld.files, incomplete: unreadable}).build()
	for _, f := range ld.files {
		cfg.Files = append(cfg.Files, f.displayName)
	}
	report.sort()
	if report.Err() != nil {
		return nil, report
	}
	return cfg, report
}

// LoadFiles is Load for files of the operating system. Each file can include only what is
// below its own folder; symbolic links are followed within that folder.
func LoadFiles(paths []string, vars map[string]string) (*Config, *Report, error) {
	var roots []Root
	for _, path := range paths {
		path = filepath.Clean(path) // so that two spellings of one path are reported as a duplicate
		folder, name := filepath.Split(path)
		root, err := os.OpenRoot(filepath.Clean("./" + folder))
		if filepath.IsAbs(path) {
			root, err = os.OpenRoot(filepath.Clean(folder))
		}
		if err != nil {
			return nil, nil, fmt.Errorf("configuration: %w", err)
		}
		defer root.Close()
		info, err := fs.Stat(root.FS(), name)
		if err == nil && info.IsDir() {
			err = errors.New("a folder; write the first file in it")
		}
		if err != nil {
			return nil, nil, fmt.Errorf("configuration: %s: %w", path, withoutPath(err))
		}
		roots = append(roots, Root{FS: root.FS(), Name: name, DisplayPrefix: folder})
	}
	cfg, report := Load(roots, vars)
	return cfg, report, nil
}

// LoadFleet loads a configuration file and returns only its fleet.
func LoadFleet(path string) (*fleet.Fleet, error) {
	cfg, report, err := LoadFiles([]string{path}, nil)
	if err != nil {
		return nil, err
	}
	if err := report.Err(); err != nil {
		return nil, err
	}
	return cfg.Fleet, nil
}

// Bluebird returns the fleet of deploy/bluebird.hcl, which is embedded in the program.
func Bluebird() *fleet.Fleet {
	cfg, report := Load([]Root{{FS: singleFileFS{"bluebird.hcl", deploy.Bluebird}, Name: "bluebird.hcl", DisplayPrefix: "built in "}}, nil)
	if err := report.Err(); err != nil {
		panic(err) // the embedded file is invalid, which the tests detect
	}
	return cfg.Fleet
}

// Place returns the position of the block of a kind and name, or the zero Place if it is
// not defined.
func (c *Config) Place(kind, name string) Place { return placeFromRange(c.places[kind+" "+name]) }

// ListenAddresses returns the addresses where clients connect to the limiter at an index of
// Fleet.Limiters.
func (c *Config) ListenAddresses(position int) []string {
	var all []string
	if address := c.Fleet.Limiters[position].Listen; address != "" {
		all = append(all, address)
	}
	for _, l := range c.Listeners {
		if l.Limiter == position {
			all = append(all, l.Address)
		}
	}
	return all
}

// PoolByBox returns, for each box of the fleet, the index of its pool, or -1 if it has none.
func (c *Config) PoolByBox() []int {
	pools := make([]int, len(c.Fleet.Boxes))
	for i := range pools {
		pools[i] = -1
	}
	for i, p := range c.Pools {
		for _, b := range p.Boxes {
			pools[b] = i
		}
	}
	return pools
}

// RouteMatches returns the match conditions of the routes, in the order of Routes.
func (c *Config) RouteMatches() []route.Match {
	matches := make([]route.Match, len(c.Routes))
	for i := range c.Routes {
		matches[i] = c.Routes[i].Match
	}
	return matches
}

// singleFileFS is an in-memory file system that contains one file.
type singleFileFS struct {
	name string
	data []byte
}

// parseSyntax parses the syntax of one file without following its includes.
func parseSyntax(data []byte, name string) (*hclsyntax.Body, *Report) {
	l := &loader{Report: newReport(), includedAt: map[string]hcl.Range{}}
	l.sources[name] = data
	return l.parse(data, name), l.Report
}
