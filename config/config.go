// Package config is the language that deployments are written in: HCL with units,
// includes, variables, routes, pools and policies. It reads files from an [fs.FS],
// resolves and checks them as a whole, and tells every mistake with its place and with
// what to write instead. [Diff] says what two versions change in meaning, [Format]
// writes a file in the one usual form.
//
// All that a file may hold is in one schema, which the checker, the diff and the
// reference page go by.
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

// Config is a configuration that was read and checked. It must not be changed.
type Config struct {
	Fleet       *fleet.Fleet
	Pools       []Pool
	Routes      []Route
	Listeners   []Listener
	ForwardAuth []ForwardAuth
	Plugins     []plugin.Spec // by name
	Memory      Memory
	Duties      Duties
	Files       []string // that were read, as they are shown

	facts  []fact
	places map[string]hcl.Range
}

// Pool is a set of boxes that takes requests of its own.
type Pool struct {
	Name      string
	Boxes     []int       // of the fleet, rising
	Discovery string      // of an agent that tells of more; empty: none
	Tiers     fleet.Tiers // by rank; none: all boxes are alike
}

// Route takes the requests that meet its conditions to a pool.
type Route struct {
	Name     string
	Match    route.Match
	Pool     int           // of Pools; -1 where there are none
	Class    int           // of the fleet, for requests that name none; -1: none
	Deadline time.Duration // 0: the class's
	Attempts int           // 0: what the rules allow
	MaxBody  int           // bytes; -1: what the protocol allows
	Plugins  []string      // that are asked; nil: all
}

// Listener is a further address of a limiter.
type Listener struct {
	Name, Address string
	Limiter       int
}

// Memory is where limiters keep what they have learnt; no folder: nowhere.
type Memory struct {
	Folder  string
	Every   time.Duration
	MaxSize int64 // bytes
}

// Duties is how limiters agree on who owns duties of the whole fleet; no folder: not at all.
type Duties struct {
	Label  string
	Folder string
	Voters []string // when the fleet begins
	Term   time.Duration
	Drift  float64
	// Parts of ceilings: "equal", or "steward".
	Ceilings string
	// Looks at ill boxes and at discovery: "each" limiter for itself, or one of a "room".
	Watch string
}

// ForwardAuth is where other proxies ask a limiter.
type ForwardAuth struct {
	Limiter, Listen, Keys string
	Leases, Pending       int
	TLS                   *TLS
	Proxies               []Proxy
}

// TLS are the files of a listener's certificate.
type TLS struct{ Cert, Key, ClientCA string }

// Proxy is one kind of asker.
type Proxy struct {
	Name, Dialect, Mode, Secret, Header, Prefix string
	From, Certs                                 []string
	Lease, Wait                                 time.Duration
	Names                                       map[string]string // by field of the block headers
	Routes                                      []ProxyRoute
}

// ProxyRoute says what requests under a path are.
type ProxyRoute struct {
	Path, Method, Class, Plan string
	Units                     float64
}

// Load reads and checks a configuration, which may have several first files. vars are
// values of variables by name. The Config is nil if the report has errors; a report is
// returned always. It takes time and memory in proportion to the files, which are
// bounded.
func Load(roots []Root, vars map[string]string) (*Config, *Report) {
	return load(roots, vars, usualBounds)
}

func load(roots []Root, vars map[string]string, within bounds) (*Config, *Report) {
	r := newReport()
	l := &loader{Report: r, bounds: within, from: map[string]hcl.Range{}}
	for _, root := range roots {
		l.load(root, root.Name, nil, hcl.Range{})
	}
	d := &decoder{scope: &scope{Report: r, vars: map[string]*named{}, locals: map[string]*named{}}, named: map[string]map[string]*object{}}
	for name, text := range vars {
		d.vars[name] = &named{value: textValue(text), state: 2}
	}
	unread := len(r.Diagnostics) > 0
	d.decode(l.files)
	for name := range vars {
		if d.vars[name].at.Filename == "" {
			at := hcl.Range{Start: hcl.InitialPos, End: hcl.InitialPos}
			if len(roots) > 0 {
				at.Filename = roots[0].Show + roots[0].Name
			}
			d.add("unknown-variable", at, fmt.Sprintf("add variable %q {}, or take --var %s away", name, name), "a value is given for the variable %q, which is not defined", name)
		}
	}
	c := (&builder{decoder: d, files: l.files, partial: unread}).build()
	for _, f := range l.files {
		c.Files = append(c.Files, f.show)
	}
	r.sort()
	if r.Err() != nil {
		return nil, r
	}
	return c, r
}

// LoadFiles is Load for files of the system. Of each, what lies below its folder can
// be included, also through links, and nothing else.
func LoadFiles(paths []string, vars map[string]string) (*Config, *Report, error) {
	var roots []Root
	for _, p := range paths {
		p = filepath.Clean(p) // one file by two spellings is told as such
		dir, name := filepath.Split(p)
		root, err := os.OpenRoot(filepath.Clean("./" + dir))
		if filepath.IsAbs(p) {
			root, err = os.OpenRoot(filepath.Clean(dir))
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
			return nil, nil, fmt.Errorf("configuration: %s: %w", p, cause(err))
		}
		roots = append(roots, Root{FS: root.FS(), Name: name, Show: dir})
	}
	c, r := Load(roots, vars)
	return c, r, nil
}

// LoadFleet reads the fleet of a file, for what needs no more of it.
func LoadFleet(path string) (*fleet.Fleet, error) {
	c, r, err := LoadFiles([]string{path}, nil)
	if err != nil {
		return nil, err
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return c.Fleet, nil
}

// Bluebird returns the fleet that is built into the program, deploy/bluebird.hcl.
func Bluebird() *fleet.Fleet {
	c, r := Load([]Root{{FS: oneFile{"bluebird.hcl", deploy.Bluebird}, Name: "bluebird.hcl", Show: "built in "}}, nil)
	if err := r.Err(); err != nil {
		panic(err) // a mistake in the program itself, which its tests find
	}
	return c.Fleet
}

// Place is where a block is defined, by kind and name; zero if it is not.
func (c *Config) Place(kind, name string) Place { return placeOf(c.places[kind+" "+name]) }

// Listens are the addresses where clients of a limiter connect.
func (c *Config) Listens(position int) []string {
	var all []string
	if a := c.Fleet.Limiters[position].Listen; a != "" {
		all = append(all, a)
	}
	for _, l := range c.Listeners {
		if l.Limiter == position {
			all = append(all, l.Address)
		}
	}
	return all
}

// PoolOf is the pool of each box of the fleet; -1: none.
func (c *Config) PoolOf() []int {
	of := make([]int, len(c.Fleet.Boxes))
	for i := range of {
		of[i] = -1
	}
	for i, p := range c.Pools {
		for _, b := range p.Boxes {
			of[b] = i
		}
	}
	return of
}

// Matches are the conditions of the routes, in their order.
func (c *Config) Matches() []route.Match {
	m := make([]route.Match, len(c.Routes))
	for i := range c.Routes {
		m[i] = c.Routes[i].Match
	}
	return m
}

// oneFile is a file system with one file, which needs no disk.
type oneFile struct {
	name string
	data []byte
}

// parseSyntax reads one file's syntax, without what it includes.
func parseSyntax(data []byte, name string) (*hclsyntax.Body, *Report) {
	l := &loader{Report: newReport(), from: map[string]hcl.Range{}}
	l.sources[name] = data
	return l.parse(data, name), l.Report
}
