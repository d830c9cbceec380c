package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/feed"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/rowstore"
	"github.com/tamarackworks/tamarackworks/standin/rows"
	"github.com/tamarackworks/tamarackworks/workload"
)

const (
	// soakConfigApply is the operators' bound: a configuration is in force everywhere this long after its confirmation.
	soakConfigApply = 2 * time.Second
	soakHosts       = 6
	soakDuration    = 40 * time.Second
	// soakConfigBytes makes configurations so large that some of them fill a narrow link for a while.
	soakConfigBytes = 30 << 10
)

var soakConfigKey = rowstore.Key{Table: "op", Name: "config"}

// soakHost is a host that follows the configuration over a link with faults. A restart replaces all but the handle.
type soakHost struct {
	handle *rows.Handle
	// responsive is what the host believes of the store; it may be wrong.
	responsive bool
	frontend   *frontend.Frontend
	stop       context.CancelFunc
	// others are the feeds that share the host's link, as those of an owner do.
	others int
}

// soak is one run. Operators add and remove routes while faults, restarts and stops of hosts come in series and overlap.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	store   *rows.Store
	began   time.Time
	hosts   []*soakHost
	config  workload.Configuration
	added   map[string]time.Duration
	removed map[string]time.Duration
	// refusals and checks count what was checked, to show that the run reaches what it is about.
	refusals, checks, unavailable int
}

func (s *soak) now() time.Duration { return time.Since(s.began) }

func (s *soak) chance(p float64) bool { return s.random.Float64() < p }

// start starts a host, or starts it again with the same handle.
func (s *soak) start(h *soakHost) {
	ctx, stop := context.WithCancel(s.t.Context())
	h.stop = stop
	f := frontend.New(frontend.Options{
		Store: h.handle, Log: &log.Logger{Handler: discard.Default}, Now: s.now, WallMS: func() int64 { return 1 },
		StoreResponsive: func() bool { return h.responsive }, Metrics: frontend.NewMetrics(prometheus.NewRegistry()),
		MaxConfigurationAge: soakConfigApply * 9 / 10,
		ReadConfiguration: func(ctx context.Context) error {
			asOf := s.now()
			rows, _, err := feed.ReadAll(ctx, h.handle, soakConfigKey.Table, nil)
			if err == nil {
				deliver(s.t, h.frontend, rows)
				h.frontend.ConfirmConfiguration(asOf)
			}
			return err
		},
	})
	h.frontend = f
	go feed.Follow(ctx, feed.Options{
		Store: h.handle, Table: soakConfigKey.Table, Log: &log.Logger{Handler: discard.Default}, Now: s.now,
		Deliver: func(b feed.Batch) { deliver(s.t, f, b.Rows) }, Confirm: f.ConfirmConfiguration,
	})
	for range h.others {
		go feed.Follow(ctx, feed.Options{Store: h.handle, Table: "jobs", Log: &log.Logger{Handler: discard.Default}, Deliver: func(feed.Batch) {}})
	}
}

func deliver(t *testing.T, f *frontend.Frontend, changed []rowstore.Row) {
	for _, r := range changed {
		var c workload.Configuration
		assert.Check(t, json.Unmarshal(r.Value, &c))
		f.Configure(&c)
	}
}

// change adds a route or removes one.
func (s *soak) change() {
	if len(s.config.Routes) > 3 && s.chance(0.4) {
		n := s.random.IntN(len(s.config.Routes))
		s.removed[s.config.Routes[n].Prefix] = s.now()
		delete(s.added, s.config.Routes[n].Prefix)
		s.config.Routes = append(s.config.Routes[:n:n], s.config.Routes[n+1:]...)
	} else {
		prefix := fmt.Sprintf("/route-%d/", s.config.Version)
		s.config.Routes = append(s.config.Routes, workload.Route{Name: prefix, Host: "h", Prefix: prefix})
		s.added[prefix] = s.now()
	}
	s.config.Version++
	value, err := json.Marshal(&s.config)
	assert.NilError(s.t, err)
	s.store.Put(soakConfigKey, value)
}

// disturb changes the faults of a host, or restarts it.
func (s *soak) disturb(h *soakHost) {
	fault := rows.Fault(s.random.IntN(int(rows.Late) + 1))
	share := s.random.Float64()
	switch {
	case s.chance(0.4):
		fault = rows.None
	case s.chance(0.2):
		h.stop()
		s.start(h)
	}
	h.responsive = fault == rows.None || share < 0.7
	h.handle.SetFault(func(bool) rows.Fault {
		if rand.New(rand.NewPCG(uint64(s.now()), 1)).Float64() < share {
			return fault
		}
		return rows.None
	})
}

// check asks a host for a route that has been there, or has been gone, for longer than the bound.
func (s *soak) check(h *soakHost) {
	ask := func(prefix string) frontend.Outcome {
		_, _, result := h.frontend.Match(s.t.Context(), "h", prefix+"0123456789abcdef", "")
		return result.Outcome
	}
	if prefix, ok := s.older(s.added); ok {
		s.checks++
		switch ask(prefix) {
		case frontend.NoRoute:
			// The route may have been removed while the host was asked.
			if at, ok := s.added[prefix]; ok {
				s.t.Errorf("%s: a route added %s before is refused", s.now(), s.now()-at)
			}
		case frontend.Unavailable:
			s.unavailable++
		}
	}
	if prefix, ok := s.older(s.removed); ok && h.responsive && ask(prefix) == frontend.NoRoute {
		s.refusals++
	}
}

// older returns one of the routes that changed longer than the bound ago.
func (s *soak) older(routes map[string]time.Duration) (string, bool) {
	var prefixes []string
	for _, prefix := range slices.Sorted(maps.Keys(routes)) {
		if s.now()-routes[prefix] > soakConfigApply {
			prefixes = append(prefixes, prefix)
		}
	}
	if len(prefixes) == 0 {
		return "", false
	}
	return prefixes[s.random.IntN(len(prefixes))], true
}

func (s *soak) run() {
	s.config.Services = []workload.Service{{Name: strings.Repeat("s", soakConfigBytes)}}
	s.change()
	for n := range soakHosts {
		h := &soakHost{handle: s.store.Handle(), responsive: true, others: n % 3}
		if n%2 == 0 {
			h.handle.SetLink(1_250_000)
		}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	for s.now() < soakDuration {
		time.Sleep(time.Duration(s.random.IntN(60)) * time.Millisecond)
		h := s.hosts[s.random.IntN(len(s.hosts))]
		switch {
		case s.chance(0.25):
			s.change()
		case s.chance(0.05):
			s.store.DropHistory()
		case s.chance(0.06):
			s.store.SetSlow(time.Duration(s.random.IntN(700)) * time.Millisecond)
		case s.chance(0.1):
			s.store.SetSlow(0)
		case s.chance(0.2):
			s.disturb(h)
		case s.chance(0.3):
			for n := range 20 {
				s.store.Put(rowstore.Key{Table: "jobs", Name: fmt.Sprint(s.now(), n)}, make([]byte, 2<<10))
			}
		default:
			s.check(h)
		}
	}
	for _, h := range s.hosts {
		h.stop()
	}
	// Time for the calls under way to end.
	time.Sleep(time.Minute)
}

// Whatever faults, restarts and changes come together, no host may refuse a route that has been confirmed for longer than the bound.
// SOAK_SEEDS sets the number of seeds, SOAK_FIRST the first of them.
func TestConfigurationSoak(t *testing.T) {
	seeds, first := 8, 1
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv("SOAK_FIRST")); err == nil {
		first = n
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &soak{
					t: t, random: rand.New(rand.NewPCG(uint64(seed), 1)), store: rows.New(), began: time.Now(),
					added: make(map[string]time.Duration), removed: make(map[string]time.Duration),
				}
				s.run()
				t.Logf("%d checks, %d refusals, %d without an answer", s.checks, s.refusals, s.unavailable)
				assert.Check(t, s.checks > 0)
				assert.Equal(t, s.store.InvalidTxns(), 0)
			})
		})
	}
}
