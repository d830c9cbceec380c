package node

import (
	"net/http"
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
		"own last":   {[]peer{{name: "a", dataCentre: "own", cpuShare: 1}, {name: "b", dataCentre: "x", cpuShare: 0.1}}, []string{"b", "a"}},
		"spread out": {[]peer{{name: "a", dataCentre: "x", cpuShare: 1}, {name: "b", dataCentre: "x", cpuShare: 1}, {name: "c", dataCentre: "y"}}, []string{"a", "c", "b"}},
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
	p := newPeers(peer{name: "own", dataCentre: "own"}, func() time.Duration { return now })
	call := func(name, share string) {
		h := http.Header{}
		newPeers(peer{name: name, dataCentre: "x"}, nil).setHeaders(h)
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

// Guards against changes of the owner between hosts with similar CPU shares.
func TestOnlyMuchStrongerHostsOutrank(t *testing.T) {
	for share, want := range map[float64]bool{0.2: false, 0.39: false, 0.4: true, 0.8: true} {
		p := newPeers(peer{name: "own", cpuShare: 0.2}, func() time.Duration { return 0 })
		h := http.Header{}
		newPeers(peer{name: "x", cpuShare: share}, nil).setHeaders(h)
		p.recordCaller(h)
		assert.Equal(t, p.outranked(), want, "%v", share)
	}
}
