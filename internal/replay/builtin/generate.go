//go:build ignore

// Command generate writes friday.csv.gz: a synthetic Friday morning of 90 seconds.
// The rate of the clinics' reminders varies, shops announce a sale from 30 s to 50 s,
// box b2 is down from 20 s to 28 s, a4 is slow from 55 s to 63 s, and all boxes of
// room-b are down from 68 s to 76 s.
package main

import (
	"bufio"
	"compress/gzip"
	"fmt"
	"log"
	"os"
	"sort"
	"time"

	"example.org/madderdrum/config"
	"example.org/madderdrum/internal/world"
)

func main() {
	f := config.Bluebird()
	f.Traffic.Heavy, f.Traffic.Swing = 0.08, 0.15
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	request := func(a world.Arrival) {
		lines = append(lines, line{a.At, fmt.Sprintf("ask,acct%03d,%s,%s,%g,%d,,", a.Account, f.Classes[a.Class].Name, f.Plans[a.Plan].Name,
			a.Units, a.Work.Microseconds())})
	}
	all := world.NewSynthetic(f, 20261, 90*time.Second)
	for a, ok := all.Next(); ok; a, ok = all.Next() {
		request(a)
	}
	sale := *f
	sale.Traffic.Rate = 40
	shops := world.NewSynthetic(&sale, 20262, 20*time.Second)
	for a, ok := shops.Next(); ok; a, ok = shops.Next() {
		a.At += 30 * time.Second
		a.Class, a.Plan, a.Units = 2, 1, f.Classes[2].Units
		a.Account = 80 + a.Account%32
		request(a)
	}
	event := func(at time.Duration, what, box, factor string) {
		lines = append(lines, line{at, fmt.Sprintf("%s,,,,,,%s,%s", what, box, factor)})
	}
	event(20*time.Second, "down", "b2", "")
	event(28*time.Second, "up", "b2", "")
	event(55*time.Second, "slow", "a4", "3")
	event(63*time.Second, "slow", "a4", "1")
	for k := range 6 {
		event(68*time.Second, "down", fmt.Sprint("b", k), "")
		event(76*time.Second, "up", fmt.Sprint("b", k), "")
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	file, err := os.Create("friday.csv.gz")
	if err != nil {
		log.Fatal(err)
	}
	z, err := gzip.NewWriterLevel(file, gzip.BestCompression)
	if err != nil {
		log.Fatal(err)
	}
	w := bufio.NewWriter(z)
	fmt.Fprintln(w, "ms,what,account,class,plan,units,work_us,box,slow")
	for _, l := range lines {
		fmt.Fprintf(w, "%.3f,%s\n", float64(l.at.Microseconds())/1000, l.text)
	}
	for _, err := range []error{w.Flush(), z.Close(), file.Close()} {
		if err != nil {
			log.Fatal(err)
		}
	}
}
