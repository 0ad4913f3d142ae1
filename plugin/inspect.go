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

// Report describes a module: its size, imports, exports and whether it fits the ABI.
type Report struct {
	Bytes            int
	Imports, Exports []string // names with their function types
	MinMemory        int      // initial memory, bytes
	Problem          error    // why it can't be loaded; nil if its imports and exports fit the ABI
}

// Inspect describes a module without running it. It returns an error if the bytes are not a valid module.
func Inspect(ctx context.Context, module []byte) (*Report, error) {
	// Check first: the engine allocates by the counts that a module declares.
	if _, err := bounds.Apply(module, math.MaxInt32); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrModule, err)
	}
	runtime := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfigInterpreter())
	defer runtime.Close(ctx)
	compiled, err := runtime.CompileModule(ctx, module)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrModule, err)
	}
	report := &Report{Bytes: len(module), Problem: checkABI(compiled)}
	for _, f := range compiled.ImportedFunctions() {
		from, name, _ := f.Import()
		report.Imports = append(report.Imports, from+"."+name+formatSignature(f))
	}
	for name, f := range compiled.ExportedFunctions() {
		report.Exports = append(report.Exports, name+formatSignature(f))
	}
	for name, exported := range compiled.ExportedMemories() {
		report.Exports = append(report.Exports, name+" (memory)")
		report.MinMemory = max(report.MinMemory, int(exported.Min())<<16)
	}
	slices.Sort(report.Exports)
	return report, nil
}

// formatSignature returns the parameter and result types of a function as text.
func formatSignature(f api.FunctionDefinition) string {
	typeNames := func(all []api.ValueType) string {
		var b []string
		for _, t := range all {
			b = append(b, api.ValueTypeName(t))
		}
		return strings.Join(b, " ")
	}
	s := "(" + typeNames(f.ParamTypes()) + ")"
	if results := typeNames(f.ResultTypes()); results != "" {
		s += " -> " + results
	}
	return s
}
