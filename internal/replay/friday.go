package replay

import (
	"bytes"
	_ "embed"
	"io"

	"example.org/madderdrum/internal/trace"
)

//go:generate sh -c "cd builtin && go run generate.go"

//go:embed builtin/friday.csv.gz
var fridayTrace []byte

//go:embed builtin/friday.hcl
var fridayMapping []byte

// Friday returns the built-in trace: a synthetic Friday morning of 90 seconds.
func Friday() Input {
	s, err := trace.ParseMapping(fridayMapping, "friday.hcl (built in)")
	if err != nil {
		panic(err) // the embedded file is parsed by tests
	}
	return Input{Schema: s, Files: []trace.Source{{Name: "friday.csv.gz (built in)",
		Open: func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(fridayTrace)), nil }}}}
}
