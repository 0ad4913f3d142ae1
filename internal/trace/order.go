package trace

import (
	"container/heap"
	"fmt"
	"hash/maphash"
	"time"
)

// maxRowsCompared bounds the hashes kept for rows of the same time; duplicates of later
// rows of that time are not found.
const maxRowsCompared = 1 << 16

// reorderBuffer sorts records by time within a window, and finds duplicates among
// rows of the same time.
type reorderBuffer struct {
	window     time.Duration
	duplicates Duplicates
	heap       recordHeap
	seq        int
	latest     time.Duration
	started    bool
	reordered  int
	dropped    int

	hashTime   time.Duration
	lineByHash map[uint64]int // line number by the hash of a row at hashTime
	seed       maphash.Seed
}

type recordHeap []queuedRecord

type queuedRecord struct {
	Record
	seq int
}

func (r recordHeap) Len() int { return len(r) }
func (r recordHeap) Less(i, j int) bool {
	return r[i].At < r[j].At || r[i].At == r[j].At && r[i].seq < r[j].seq
}
func (r recordHeap) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *recordHeap) Push(x any)   { *r = append(*r, x.(queuedRecord)) }
func (r *recordHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	old[len(old)-1] = queuedRecord{}
	*r = old[:len(old)-1]
	return x
}

// accept checks a record against the earlier ones. It returns false for a dropped
// duplicate, and a problem for a record that is too old or a refused duplicate.
func (o *reorderBuffer) accept(rec *Record, input recordStream) (bool, *Problem) {
	if o.started && rec.At < o.latest-o.window {
		remedy := "sort the file by time, or accept it with --reorder " + (o.latest - rec.At + time.Second).Round(time.Second).String()
		if o.window > 0 {
			remedy += fmt.Sprintf(" (now %v)", o.window)
		}
		return false, &Problem{rec.File, rec.Line, "time", fmt.Sprintf("%v before the row before it", o.latest-rec.At), remedy}
	}
	if o.started && rec.At < o.latest {
		o.reordered++
	}
	var hash uint64
	if row, ok := input.(interface{ raw() []byte }); ok && o.duplicates != KeepDuplicates {
		if o.lineByHash == nil {
			o.seed, o.lineByHash = maphash.MakeSeed(), map[uint64]int{}
		}
		hash = maphash.Bytes(o.seed, row.raw()) | 1
	}
	if hash != 0 {
		if rec.At != o.hashTime {
			o.hashTime = rec.At
			clear(o.lineByHash)
		}
		if line, duplicate := o.lineByHash[hash]; duplicate {
			if o.duplicates == DropDuplicates {
				o.dropped++
				return false, nil
			}
			return false, &Problem{rec.File, rec.Line, "", fmt.Sprintf("the same row as line %d", line),
				"remove it, or say --duplicates keep or --duplicates drop"}
		}
		if len(o.lineByHash) < maxRowsCompared {
			o.lineByHash[hash] = rec.Line
		}
	}
	o.latest, o.started = max(o.latest, rec.At), true
	return true, nil
}

// push holds a record back until no earlier record can follow.
func (o *reorderBuffer) push(rec Record) {
	o.seq++
	heap.Push(&o.heap, queuedRecord{rec, o.seq})
}

// pop returns the earliest record if no earlier one can follow. After the end of the
// input it returns all that are left.
func (o *reorderBuffer) pop(ended bool) (Record, bool) {
	if len(o.heap) == 0 || !ended && o.heap[0].At > o.latest-o.window {
		return Record{}, false
	}
	return heap.Pop(&o.heap).(queuedRecord).Record, true
}
