package quotaloan

import (
	"math"
	"testing"
)

// asks has one desk ask another for a part of an account and take in the answer, and returns what it got.
func asks(borrower, lender *Desk, from, to int, now, part float64) float64 {
	borrower.serial++
	borrower.out[borrower.serial] = asked{to, now}
	m := Message{Serial: borrower.serial, Life: borrower.life, Items: []Item{{7, part}}, Size: borrower.size}
	letter, ok := lender.Hear(now, from, m)
	if !ok {
		return 0
	}
	borrower.Hear(now, to, letter.Message)
	return borrower.borrowed(now, borrower.get(7))
}

func settled(me, size int) *Desk {
	d := New(0, me, size, nil, uint64(me)+1)
	d.First()
	return d
}

// Nothing is lent that would outlive the lender's lease, or by one that leaves, and nothing is used of what was
// borrowed once the borrower's own lease has ended.
func TestLoansEndWithLeases(t *testing.T) {
	lender, borrower := settled(0, 4), settled(1, 4)
	lender.Hold(1, SpanMs-1)
	if got := asks(borrower, lender, 1, 0, 0, 0.3); got != 0 {
		t.Errorf("%g is lent for longer than the lender's lease lasts", got)
	}
	lender.Hold(1, SpanMs)
	if got := asks(borrower, lender, 1, 0, 0, 0.3); got != 0.3 {
		t.Errorf("%g is lent", got)
	}
	borrower.Hold(1, 1000)
	if of, _, next := borrower.Parts(999); of[7] != 1.3 || next != 1000 {
		t.Errorf("before the borrower's lease ends it holds %v until %g", of, next)
	}
	if of, rest, _ := borrower.Parts(1000); len(of) > 0 || rest != 0 {
		t.Errorf("after its lease has ended it holds %v and %g of the rest", of, rest)
	}
	lender.StopLending()
	if got := asks(settled(2, 4), lender, 2, 0, 0, 0.1); got != 0 {
		t.Errorf("one that leaves lends %g", got)
	}
}

// A lender that has to hold less than it has lent tells until when, and has nothing itself meanwhile.
func TestLoansBeyondThePart(t *testing.T) {
	lender, borrower := settled(0, 4), settled(1, 4)
	asks(borrower, lender, 1, 0, 100, 0.4)
	if ms := lender.LoansEndIn(200); ms != 0 {
		t.Errorf("loans within the part end in %g ms", ms)
	}
	lender.Hold(0.3, math.Inf(1))
	if own, ms := lender.own(200, lender.get(7)), lender.LoansEndIn(200); own != 0 || ms != SpanMs-100 {
		t.Errorf("it uses %g itself, and loans end in %g ms", own, ms)
	}
	if own, ms := lender.own(100+SpanMs, lender.get(7)), lender.LoansEndIn(100+SpanMs); own != 0.3 || ms != 0 {
		t.Errorf("later it uses %g itself, and loans end in %g ms", own, ms)
	}
	young := New(0, 0, 4, []int{1}, 9)
	if ms := young.LoansEndIn(1000); ms != SpanMs-1000 {
		t.Errorf("of a former life's loans nothing is known, and they end in %g ms", ms)
	}
}

// Where the number of slots changes, parts are the same share of everything, also in messages of those that
// have not heard of it.
func TestResize(t *testing.T) {
	lender, borrower := settled(0, 4), settled(1, 4)
	asks(borrower, lender, 1, 0, 0, 0.4)
	lender.Resize(0, 8, nil)
	if own, lent := lender.own(1, lender.get(7)), lender.get(7).lent[1].part; own != 1.2 || lent != 0.8 {
		t.Errorf("%g is its own, %g lent, of 2 slots' worth", own, lent)
	}
	if got := asks(borrower, lender, 1, 0, 2, 0.5); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("one that counts by 4 slots has borrowed %g", got)
	}
	if lent := lender.get(7).lent[1].part; math.Abs(lent-1) > 1e-9 {
		t.Errorf("the lender counts %g of 8 slots for it", lent)
	}
}
