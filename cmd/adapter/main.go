// Command adapter runs instances of the limiter's decision module for the simulator, which sends events
// on standard input and reads the resulting actions from standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"example.org/madderdrum/internal/wire"
	"example.org/madderdrum/limiter"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run processes batches of events and writes their actions until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	limiters := map[int]*limiter.Limiter{}
	for {
		now, items, err := r.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, it := range items {
			if err := handle(limiters, w, now, it); err != nil {
				w.Fault(it.Instance, err.Error())
				delete(limiters, it.Instance)
			}
		}
		if err := w.Yield(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handle passes one item to its instance; a panic of the module is returned as an error.
func handle(limiters map[int]*limiter.Limiter, w *wire.Writer, now float64, it wire.Item) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	switch it.Kind {
	case wire.Begin:
		if it.Err != nil {
			return it.Err
		}
		l, err := limiter.New(it.Settings, it.Seed)
		if err != nil {
			return err
		}
		limiters[it.Instance] = l
		return nil
	case wire.Retire:
		delete(limiters, it.Instance)
		return nil
	}
	l := limiters[it.Instance]
	if l == nil || it.Event == nil {
		return nil
	}
	for _, a := range l.Handle(now, it.Event) {
		w.Action(it.Instance, a)
	}
	return nil
}
