package plugin

import "example.org/madderdrum/plugin/plugintest"

// Short names for modules that are put together by hand.
type (
	asm      = plugintest.Module
	imported = plugintest.Import
)

const (
	i32 = plugintest.I32
	i64 = plugintest.I64
	f64 = plugintest.F64
)

var (
	join     = plugintest.Join
	forever  = plugintest.Forever
	constI32 = plugintest.ConstI32
	constF64 = plugintest.ConstF64
	call     = plugintest.Call
	says     = plugintest.Says
	trap     = plugintest.Trap
	drop     = plugintest.Drop
	none     = plugintest.None
)
