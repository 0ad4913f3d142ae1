package plugin

import "example.org/madderdrum/plugin/plugintest"

// Short names for the hand-assembled modules of package plugintest.
type (
	testModule = plugintest.Module
	testImport = plugintest.Import
)

const (
	i32 = plugintest.I32
	i64 = plugintest.I64
	f64 = plugintest.F64
)

var (
	join         = plugintest.Join
	forever      = plugintest.Forever
	constI32     = plugintest.ConstI32
	constF64     = plugintest.ConstF64
	call         = plugintest.Call
	returnAdvice = plugintest.Says
	trap         = plugintest.Trap
	drop         = plugintest.Drop
	noOpinion    = plugintest.None
)
