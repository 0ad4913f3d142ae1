package quotaloan

import (
	"math"
	"testing"
)

// borrow has the borrower ask the lender for a part of account 7 and process the answer. It returns what
// the borrower then holds in loans.
func borrow(borrower, lender *Ledger, from, to int, now, part float64) float64 {
	borrower.serial++
	borrower.asks[borrower.serial] = pendingAsk{to, now}
	m := Message{Serial: borrower.serial, Instance: borrower.instance, Items: []AccountPart{{7, part}}, Slots: borrower.slots}
	letter, ok := lender.Receive(now, from, m)
	if !ok {
		return 0
	}
	borrower.Receive(now, to, letter.Message)
	return borrower.borrowedPart(now, borrower.accountOf(7))
}

func newSettledLedger(me, size int) *Ledger {
	d := New(0, me, size, nil, uint64(me)+1)
	d.SkipRecall()
	return d
}

// No loan outlives the lender's lease, a limiter that shuts down lends nothing, and a borrower uses no
// loans after its own lease has expired.
func TestLoansEndWithLeases(t *testing.T) {
	lender, borrower := newSettledLedger(0, 4), newSettledLedger(1, 4)
	lender.SetShare(1, LoanMs-1)
	if got := borrow(borrower, lender, 1, 0, 0, 0.3); got != 0 {
		t.Errorf("%g is lent beyond the end of the lender's lease", got)
	}
	lender.SetShare(1, LoanMs)
	if got := borrow(borrower, lender, 1, 0, 0, 0.3); got != 0.3 {
		t.Errorf("%g is lent, want 0.3", got)
	}
	borrower.SetShare(1, 1000)
	if of, _, next := borrower.Parts(999); of[7] != 1.3 || next != 1000 {
		t.Errorf("before its lease expires the borrower may use %v until %g", of, next)
	}
	if of, rest, _ := borrower.Parts(1000); len(of) > 0 || rest != 0 {
		t.Errorf("after its lease has expired the borrower may use %v, and %g of other accounts", of, rest)
	}
	lender.StopLending()
	if got := borrow(newSettledLedger(2, 4), lender, 2, 0, 0, 0.1); got != 0 {
		t.Errorf("a limiter that shuts down lends %g", got)
	}
}

// A lender whose own part is reduced below what it has lent reports when those loans expire, and uses
// nothing until then.
func TestLoansBeyondThePart(t *testing.T) {
	lender, borrower := newSettledLedger(0, 4), newSettledLedger(1, 4)
	borrow(borrower, lender, 1, 0, 100, 0.4)
	if ms := lender.LoansEndIn(200); ms != 0 {
		t.Errorf("loans within the lender's part expire in %g ms, want 0", ms)
	}
	lender.SetShare(0.3, math.Inf(1))
	if ownPart, ms := lender.ownPart(200, lender.accountOf(7)), lender.LoansEndIn(200); ownPart != 0 || ms != LoanMs-100 {
		t.Errorf("the lender uses %g itself, and loans expire in %g ms", ownPart, ms)
	}
	if ownPart, ms := lender.ownPart(100+LoanMs, lender.accountOf(7)), lender.LoansEndIn(100+LoanMs); ownPart != 0.3 || ms != 0 {
		t.Errorf("after the loans expired the lender uses %g itself, and loans expire in %g ms", ownPart, ms)
	}
	restarted := New(0, 0, 4, []int{1}, 9)
	if ms := restarted.LoansEndIn(1000); ms != LoanMs-1000 {
		t.Errorf("after a restart possible loans expire in %g ms", ms)
	}
}

// After a change of the number of slots, parts are the same share of a ceiling, also in messages of
// limiters that don't know of the change.
func TestResize(t *testing.T) {
	lender, borrower := newSettledLedger(0, 4), newSettledLedger(1, 4)
	borrow(borrower, lender, 1, 0, 0, 0.4)
	lender.Resize(0, 8, nil)
	if ownPart, lent := lender.ownPart(1, lender.accountOf(7)), lender.accountOf(7).lent[1].part; ownPart != 1.2 || lent != 0.8 {
		t.Errorf("of two equal parts the lender uses %g itself and lends %g", ownPart, lent)
	}
	if got := borrow(borrower, lender, 1, 0, 2, 0.5); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("the borrower, which counts 4 slots, has borrowed %g", got)
	}
	if lent := lender.accountOf(7).lent[1].part; math.Abs(lent-1) > 1e-9 {
		t.Errorf("the lender, which counts 8 slots, has lent %g", lent)
	}
}
