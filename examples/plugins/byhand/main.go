// Command byhand writes a plug-in that is put together without the kit and without a tool
// chain, instruction by instruction, to show how little the ABI asks for:
//
//	go run ./examples/plugins/byhand > byhand.wasm
//
// The module has 224 bytes and one page of memory. It refuses what takes 3 units or more
// while the pressure is above 0.2, with advice to come back in 250 ms.
package main

import (
	"fmt"
	"os"

	"example.org/madderdrum/advice"
	"example.org/madderdrum/plugin/plugintest"
)

func main() {
	if _, err := os.Stdout.Write(Module()); err != nil {
		fmt.Fprintln(os.Stderr, "byhand:", err)
		os.Exit(1)
	}
}

// Where things lie in the module's memory: the advice at 0, requests from input on.
const input = 1024

// Instructions (WebAssembly Core Specification 1.0, 5.4) that a test needs no names for.
const (
	f64Load, f32Load = 0x2b, 0x2a
	f64Ge, f32Gt     = 0x66, 0x5e
	f32Const         = 0x43
	i32And           = 0x71
	ifI64, orElse    = 0x04, 0x05
	end              = 0x0b
)

// Module returns the module.
func Module() []byte {
	said := (&advice.Advice{Refuse: true, WaitMs: 250, Reason: "large requests wait"}).Append(nil)
	return plugintest.Module{
		Input: plugintest.ConstI32(input),
		Data:  said,
		Advise: plugintest.Join(
			plugintest.ConstI32(input), []byte{f64Load, 3, 24}, // the units stand at 24 of the request
			plugintest.ConstF64(3), []byte{f64Ge},
			plugintest.ConstI32(input), []byte{f32Load, 2, 40}, // the pressure at 40
			[]byte{f32Const, 0xcd, 0xcc, 0x4c, 0x3e, f32Gt}, // 0.2
			[]byte{i32And, ifI64, plugintest.I64},
			plugintest.Says(0, uint32(len(said))),
			[]byte{orElse}, plugintest.None, []byte{end}),
	}.Build()
}
