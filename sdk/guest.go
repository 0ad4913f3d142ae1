//go:build wasip1

package sdk

import (
	"time"
	"unsafe"

	"example.org/madderdrum/advice"
)

var input, output []byte

//go:wasmexport madderdrum_abi
func abi() int32 { return advice.Version }

//go:wasmexport madderdrum_input
func inputAt(size int32) int32 {
	input = make([]byte, size)
	return int32(uintptr(unsafe.Pointer(unsafe.SliceData(input))))
}

//go:wasmexport madderdrum_advise
func advise(size int32) int64 {
	r, err := advice.DecodeRequest(input[:size])
	if err != nil || rule == nil {
		return 0
	}
	a := rule(&r)
	if a == (Advice{}) {
		return 0
	}
	output = a.Append(output[:0])
	return int64(uintptr(unsafe.Pointer(unsafe.SliceData(output))))<<32 | int64(len(output))
}

//go:wasmimport madderdrum count
func hostCount(key unsafe.Pointer, size uint32, amount, halfMs float64) float64

//go:wasmimport madderdrum log
func hostLog(text unsafe.Pointer, size uint32)

//go:wasmimport madderdrum now
func hostNow() int64

//go:wasmimport madderdrum random
func hostRandom() uint64

// Count adds to a sum of the plug-in's store that halves each half-life, and returns it; an
// amount of 0 only asks. All instances of the plug-in share it.
func Count(key string, amount float64, half time.Duration) float64 {
	return hostCount(unsafe.Pointer(unsafe.StringData(key)), uint32(len(key)), amount, float64(half)/float64(time.Millisecond))
}

// Log writes a line to the limiter's log, while the plug-in's budget lasts.
func Log(text string) { hostLog(unsafe.Pointer(unsafe.StringData(text)), uint32(len(text))) }

// Now is the time since an arbitrary start, in steps of 100 ms.
func Now() time.Duration { return time.Duration(hostNow()) * time.Millisecond }

// Random is a random number by the seed that the operator set.
func Random() uint64 { return hostRandom() }
