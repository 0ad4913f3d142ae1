package plugintest

import "example.org/madderdrum/advice"

// Imports of the host functions.
var (
	Count  = Import{"madderdrum", "count", []byte{I32, I32, F64, F64}, []byte{F64}}
	Log    = Import{"madderdrum", "log", []byte{I32, I32}, nil}
	Now    = Import{"madderdrum", "now", nil, []byte{I64}}
	Random = Import{"madderdrum", "random", nil, []byte{I64}}
	yield  = Import{"wasi_snapshot_preview1", "sched_yield", nil, []byte{I32}}
)

// Bad returns modules that can be loaded and whose calls all fail, each in a different way.
func Bad() map[string]Module {
	grow := Join(ConstI32(1), []byte{0x40, 0x00}, Drop)
	return map[string]Module{
		"loops":                   {Advise: Join(Forever(), None)},
		"loops with a host call":  {Imports: []Import{Now}, Advise: Join(Forever(Call(0), Drop), None)},
		"random without end":      {Imports: []Import{Random}, Advise: Join(Forever(Call(0), Drop), None)},
		"loops in wasi":           {Imports: []Import{yield}, Advise: Join(Forever(Call(0), Drop), None)},
		"recurses":                {Advise: Join(Call(3), None), Extra: Call(3)},
		"traps":                   {Advise: Trap},
		"divides by 0":            {Advise: Join(ConstI64(1), ConstI64(0), []byte{0x7f})},
		"reads beyond its memory": {Advise: Join(ConstI32(-8), []byte{0x29, 0x03, 0x00})},
		"advice beyond memory":    {Advise: Says(0xffff_fff0, 64)},
		"a length that overflows": {Advise: Says(0xffff_ffff, 0xffff_ffff)},
		"advice too long":         {Advise: Says(0, 60_000)},
		"advice of no size":       {Advise: Says(16, 0)},
		"advice of version 9":     {Advise: Says(0, 32), Data: append([]byte{9, 0, 32, 0}, make([]byte, 28)...)},
		"not UTF-8":               {Advise: Says(0, 34), Data: (&advice.Advice{Label: "\xff\xfe"}).Append(nil)},
		"a key beyond memory":     {Imports: []Import{Count}, Advise: Join(ConstI32(-1), ConstI32(10), ConstF64(1), ConstF64(1), Call(0), Drop, None)},
		"a log beyond memory":     {Imports: []Import{Log}, Advise: Join(ConstI32(0x7fff_ffff), ConstI32(0x7fff_ffff), Call(0), None)},
		"grows without end":       {Advise: Join(Forever(grow), None)},
	}
}

// WithAdvice returns a module that gives the same advice for each request.
func WithAdvice(a advice.Advice) Module {
	encoded := a.Append(nil)
	return Module{Advise: Says(0, uint32(len(encoded))), Data: encoded}
}
