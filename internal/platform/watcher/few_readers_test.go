package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestFewReadersLeft guards against a fleet that misses a change for longer than
// maxChangeDelay, and so denies new routes, when the store serves a tenth of it and most of
// those fail too: the few that the store still serves have to be found in time.
func TestFewReadersLeft(t *testing.T) {
	for _, n := range []int{16, 97} {
		for seed := range uint64(4) {
			for _, kind := range []refusal{refused, forgotten} {
				t.Run(fmt.Sprintf("%d/%d/%d", n, seed, kind), func(t *testing.T) {
					synctest.Test(t, (&fewReadersTrial{n, seed, kind}).run)
				})
			}
		}
	}
}

// fewReadersTrial is one case of TestFewReadersLeft.
type fewReadersTrial struct {
	n    int
	seed uint64
	kind refusal
}

func (a *fewReadersTrial) run(t *testing.T) {
	f := newZonedFleet(a.n)
	defer func() { f.stop(); f.running.Wait() }()
	random := rand.New(rand.NewPCG(a.seed, 0))
	time.Sleep(5 * time.Second)
	order := random.Perm(a.n)
	servedIndexes := make(map[int]bool)
	for _, i := range order[:a.n/10+1] {
		servedIndexes[i] = true
	}
	f.storeFault(a.kind, func(i int) bool { return !servedIndexes[i] })
	time.Sleep(3 * time.Second)
	for _, i := range order[1 : a.n/10+1] { // One instance is left.
		f.nodes[i].setRefusal(forgotten)
		f.nodes[i].silent.Store(true)
	}
	time.Sleep(200 * time.Millisecond)
	if got := f.changeDelay(t, "s/new"); got > maxChangeDelay {
		t.Errorf("got the change everywhere after %v, want at most %v", got, maxChangeDelay)
	}
}
