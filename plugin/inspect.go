package plugin

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"

	"example.org/madderdrum/plugin/bounds"
)

// Report is what a module is made of.
type Report struct {
	Bytes            int
	Imports, Exports []string // with their types
	LeastMemory      int      // bytes
	Problem          error    // why it can't be loaded; nil: it can, as far as its outside tells
}

// Inspect reads a module without running any of it. An error tells that it is none.
func Inspect(ctx context.Context, module []byte) (*Report, error) {
	if _, err := bounds.Apply(module, math.MaxInt32); err != nil { // the engine believes what a module announces
		return nil, fmt.Errorf("%w: %w", ErrModule, err)
	}
	runtime := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfigInterpreter())
	defer runtime.Close(ctx)
	m, err := runtime.CompileModule(ctx, module)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrModule, err)
	}
	r := &Report{Bytes: len(module), Problem: check(m)}
	for _, f := range m.ImportedFunctions() {
		from, name, _ := f.Import()
		r.Imports = append(r.Imports, from+"."+name+types(f))
	}
	for name, f := range m.ExportedFunctions() {
		r.Exports = append(r.Exports, name+types(f))
	}
	for name, x := range m.ExportedMemories() {
		r.Exports = append(r.Exports, name+" (memory)")
		r.LeastMemory = max(r.LeastMemory, int(x.Min())<<16)
	}
	slices.Sort(r.Exports)
	return r, nil
}

func types(f api.FunctionDefinition) string {
	names := func(all []api.ValueType) string {
		var b []string
		for _, t := range all {
			b = append(b, api.ValueTypeName(t))
		}
		return strings.Join(b, " ")
	}
	s := "(" + names(f.ParamTypes()) + ")"
	if gives := names(f.ResultTypes()); gives != "" {
		s += " -> " + gives
	}
	return s
}
