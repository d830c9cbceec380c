package node

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against successors that fail together with the owner or each other, and against preferring hosts with less CPU time.
func TestSuccessorsAreStrongAndInOtherDataCentres(t *testing.T) {
	for name, c := range map[string]struct {
		live []peer
		want []string
	}{
		"none":       {nil, nil},
		"one":        {[]peer{{name: "a", dataCentre: "own"}}, []string{"a"}},
		"by share":   {[]peer{{name: "a", dataCentre: "x", cpuShare: 0.2}, {name: "b", dataCentre: "x", cpuShare: 0.4}}, []string{"b", "a"}},
		"own last":   {[]peer{{name: "a", dataCentre: "own", cpuShare: 1}, {name: "b", dataCentre: "x", cpuShare: 0.6}}, []string{"b", "a"}},
		"spread out": {[]peer{{name: "a", dataCentre: "x", cpuShare: 1}, {name: "b", dataCentre: "x", cpuShare: 1}, {name: "c", dataCentre: "y", cpuShare: 0.6}}, []string{"a", "c", "b"}},
		"weak last":  {[]peer{{name: "a", dataCentre: "own", cpuShare: 0.8}, {name: "b", dataCentre: "x", cpuShare: 0.192}, {name: "c", dataCentre: "y", cpuShare: 0.8}}, []string{"c", "a", "b"}},
		"at most": {[]peer{
			{name: "a", dataCentre: "x"}, {name: "b", dataCentre: "y"}, {name: "c", dataCentre: "z"}, {name: "d", dataCentre: "w"},
		}, []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, rankSuccessors(c.live, "own"), c.want) })
	}
}

// Guards against successors that may be down because they have not called recently, and against a malformed header that
// makes a host the first choice.
func TestSuccessorsAreHostsThatCalledLately(t *testing.T) {
	now := time.Duration(0)
	unknown := func() time.Duration { return 0 }
	p := newPeers(peer{name: "own", dataCentre: "own"}, func() time.Duration { return now }, unknown)
	call := func(name, share string) {
		h := http.Header{}
		newPeers(peer{name: name, dataCentre: "x"}, nil, unknown).setHeaders(h)
		if share != "" {
			h.Set(cpuShareHeader, share)
		}
		p.recordCaller(h)
	}
	call("old", "1")
	now = peerTTL
	call("broken", "NaN")
	call("new", "0.2")
	p.recordCaller(http.Header{})
	now += time.Second
	assert.DeepEqual(t, p.successors(), []string{"new", "broken"})
}

// Guards against keeping any number of hosts, or names of any length, and against hosts that are kept out by those that no longer call.
func TestClaimedHostsAreBounded(t *testing.T) {
	now := time.Duration(0)
	p := newPeers(peer{name: "own"}, func() time.Duration { return now }, func() time.Duration { return 0 })
	call := func(name, dataCentre string) {
		p.recordCaller(http.Header{hostHeader: {name}, dataCentreHeader: {dataCentre}})
	}
	call(strings.Repeat("x", 64), "x")
	call("x", strings.Repeat("x", 64))
	assert.Equal(t, len(p.live()), 0)
	for n := range maxPeers + 1 {
		call("x"+strconv.Itoa(n), "x")
	}
	assert.Equal(t, len(p.live()), maxPeers)
	now += peerTTL + 1
	call("new", "x")
	assert.Equal(t, len(p.live()), 1)
}

// Guards against changes of the owner between hosts with similar CPU shares.
func TestOnlyMuchStrongerHostsOutrank(t *testing.T) {
	for share, want := range map[float64]bool{0.2: false, 0.39: false, 0.4: true, 0.8: true} {
		zero := func() time.Duration { return 0 }
		p := newPeers(peer{name: "own", cpuShare: 0.2}, zero, zero)
		h := http.Header{}
		newPeers(peer{name: "x", cpuShare: share}, zero, zero).setHeaders(h)
		p.recordCaller(h)
		assert.Equal(t, p.outranked(), want, "%v", share)
	}
}

// Guards against a store age that looks fresher than it is, because it is counted from the wrong clock, is malformed, or comes late.
func TestStoreAgesOfCallers(t *testing.T) {
	now, answered := 9*time.Second, 8500*time.Millisecond
	clock := func() time.Duration { return now }
	caller := newPeers(peer{name: "x"}, func() time.Duration { return now + time.Hour }, func() time.Duration { return answered + time.Hour })
	p := newPeers(peer{name: "own"}, clock, clock)
	late := http.Header{}
	caller.setHeaders(late)
	assert.Equal(t, late.Get(storeAgeHeader), "500")
	p.recordCaller(late)
	assert.DeepEqual(t, p.storeAnswered(), []time.Duration{answered - time.Millisecond})
	for _, age := range []string{"", "-5", "1e9", "99999999999999999999"} {
		late.Set(storeAgeHeader, age)
		p.recordCaller(late)
		assert.Equal(t, len(p.storeAnswered()), 0, age)
	}
}
