package node

import (
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/coordinator"
	"github.com/tamarackworks/tamarackworks/frontend"
	"github.com/tamarackworks/tamarackworks/ingresslimit"
	"github.com/tamarackworks/tamarackworks/ownership"
)

// Guards against metrics that docs/OPERATIONS.md does not describe, and descriptions of metrics that do not exist.
func TestOperationsPageListsAllMetrics(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 100)
	registry := &descriptionRecorder{descriptions}
	coordinator.NewMetrics(registry)
	frontend.NewMetrics(registry)
	ownership.NewMetrics(registry)
	ingresslimit.NewMetrics(registry)
	close(descriptions)
	name := regexp.MustCompile(`fqName: "([a-z_]+)"`)
	var registered []string
	for d := range descriptions {
		registered = append(registered, name.FindStringSubmatch(d.String())[1])
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, found := strings.Cut(string(page), "\n## On the users' platform\n")
	assert.Assert(t, found)
	var listed []string
	for _, line := range strings.Split(section, "\n") {
		if m := regexp.MustCompile("^\\| `(tamarack_[a-z_]+)").FindStringSubmatch(line); m != nil {
			listed = append(listed, m[1])
		}
	}
	sort.Strings(registered)
	sort.Strings(listed)
	assert.DeepEqual(t, listed, registered)
}

// descriptionRecorder is a prometheus.Registerer that collects the descriptions of registered metrics.
type descriptionRecorder struct{ descriptions chan *prometheus.Desc }

func (r *descriptionRecorder) Register(c prometheus.Collector) error {
	c.Describe(r.descriptions)
	return nil
}

func (r *descriptionRecorder) MustRegister(collectors ...prometheus.Collector) {
	for _, c := range collectors {
		c.Describe(r.descriptions)
	}
}

func (r *descriptionRecorder) Unregister(prometheus.Collector) bool { return false }
