package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/security/devcert"
	"github.com/tamarackworks/tamarackworks/standin/memory"
	"github.com/tamarackworks/tamarackworks/standin/platformserver"
	"github.com/tamarackworks/tamarackworks/standin/targetserver"
	"github.com/tamarackworks/tamarackworks/structs"
)

// ErrRequestFailed means that a process of the fleet did not answer a request, or not as expected.
var ErrRequestFailed = errors.New("localfleet: control")

// Credentials of the local fleet. They are public constants: they protect nothing outside of loopback.
const (
	PeerToken     = "local-fleet-peer-token"
	OperatorToken = "local-fleet-operator-token"
	operatorName  = "operator"
)

// stopTimeout bounds the graceful stop of one entry host. After it the process is killed.
const stopTimeout = 60 * time.Second

// Options configures a Fleet.
type Options struct {
	// BinDir is the directory of the program binaries.
	BinDir string
	// Dir receives settings, credentials and logs.
	Dir string
	// DataCentres holds the names of the data centres.
	DataCentres []string
	// EntriesPerDC and TargetsPerDC are the numbers of entry hosts and targets in each data centre.
	EntriesPerDC int
	TargetsPerDC int
	// Services holds the names of the services. Each has one pool in each data centre; the targets are assigned to
	// the pools round-robin.
	Services []string
	// SparePerDC adds a spare pool of that many targets in each data centre.
	SparePerDC int
	// VirtualPerDC adds that many hosts without a target process to each data centre. They are declared, and live
	// in the platform's list of hosts, so that a large fleet can be simulated. They must not receive requests.
	VirtualPerDC int
	// Teams is the number of declared teams.
	Teams int
	// MaxUnavailable is the disruption budget of each pool, in hosts.
	MaxUnavailable int
	// ListLag is how far the platform's list of hosts lags behind the state of the hosts.
	ListLag time.Duration
	// RebootTime is how long the fake platform takes to reboot a host.
	RebootTime time.Duration
	// Profile is the policy profile of the entry hosts; "buffer" if empty.
	Profile string
	// FixedPools keeps every host in its home pool: the planner moves none.
	FixedPools bool
	// LogLevel is the log level of the entry hosts; "info" if empty.
	LogLevel string
	// MemoryMB is the memory of the entry hosts in their settings, ReadTimeout their read timeout; 0 leaves them out.
	MemoryMB    int
	ReadTimeout time.Duration
}

// Entry is an entry host: its process, its identity and the addresses of its listeners.
type Entry struct {
	*Process
	ID              string
	DataCentre      string
	Host            string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	AdminAddress    string
}

// CallerURL returns the base URL of the API for callers.
func (e *Entry) CallerURL() string { return "http://" + e.CallerAddress }

// Target is a fake target: its process, its host and the addresses of its listeners.
type Target struct {
	*Process
	Host       string
	DataCentre string
	Rack       string
	// Pool is the declared home pool of the host.
	Pool string
	// WorkAddress receives requests, ControlAddress the test controls such as faults and counters.
	WorkAddress    string
	ControlAddress string
}

// Fleet is a local fleet: one fake platform, fake targets and entry hosts.
type Fleet struct {
	opts                   Options
	Platform               *Process
	PlatformURL            string
	platformControlAddress string
	Entries                []*Entry
	Targets                []*Target
	certs                  devcert.Files
}

// Start starts the fake platform and the fake targets, then the entry hosts, and waits until the entry hosts are ready.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	if err := f.configure(); err != nil {
		return nil, err
	}
	if err := f.startProcesses(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// configure writes the credentials and settings of all processes and allocates their addresses.
func (f *Fleet) configure() error {
	var err error
	if f.certs, err = devcert.Write(f.opts.Dir, net.IPv4(127, 0, 0, 1)); err != nil {
		return err
	}
	err = errors.Join(
		f.writeFile("peer.token", PeerToken+"\n"),
		f.writeFile("operators", operatorName+" "+OperatorToken+"\n"),
		f.writeFile("operator.token", OperatorToken+"\n"),
	)
	if err != nil {
		return err
	}
	if err := f.configureTargets(); err != nil {
		return err
	}
	if err := f.createEntries(); err != nil {
		return err
	}
	return f.configurePlatform()
}

func (f *Fleet) filePath(name string) string { return filepath.Join(f.opts.Dir, name) }

func (f *Fleet) programPath(name string) string { return filepath.Join(f.opts.BinDir, name) }

func (f *Fleet) writeFile(name, content string) error {
	return os.WriteFile(f.filePath(name), []byte(content), 0o600)
}

func virtualHostName(dc string, index int) string { return fmt.Sprintf("%s-v%d", dc, index+1) }

// hostsPerRack is the rack size of the fleets that the software is built for.
const hostsPerRack = 4

// configureTargets adds the targets, allocates their addresses and writes their settings.
func (f *Fleet) configureTargets() error {
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.TargetsPerDC + f.opts.SparePerDC {
			t := &Target{
				Host: fmt.Sprintf("%s-h%d", dc, i+1), DataCentre: dc,
				Rack: fmt.Sprintf("%s-r%d", dc, i/hostsPerRack+1),
				Pool: f.homePool(dc, i),
			}
			if err := assignFreeAddresses(&t.WorkAddress, &t.ControlAddress); err != nil {
				return err
			}
			config := fmt.Sprintf("[target]\nhost = %s\n[listen]\nwork = %s\ncontrol = %s\n", t.Host, t.WorkAddress, t.ControlAddress)
			if err := f.writeFile(t.Host+".ini", config); err != nil {
				return err
			}
			t.Process = newProcess(f.opts.Dir, f.programPath("tamarack-target"), t.Host, "--config", f.filePath(t.Host+".ini"))
			f.Targets = append(f.Targets, t)
		}
	}
	return nil
}

// homePool returns the pool of a target by its index in the data centre. The last SparePerDC targets are spare.
func (f *Fleet) homePool(dc string, index int) string {
	if index >= f.opts.TargetsPerDC {
		return dc + "-spare"
	}
	return dc + "-" + f.opts.Services[index%len(f.opts.Services)]
}

// createEntries adds the entry hosts and allocates their addresses. Their settings are written later, because they
// hold the addresses of all peers and of the platform.
func (f *Fleet) createEntries() error {
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.EntriesPerDC {
			e := &Entry{ID: fmt.Sprintf("%s-e%d", dc, i+1), DataCentre: dc, Host: fmt.Sprintf("%s-m%d", dc, i+1)}
			if err := assignFreeAddresses(&e.CallerAddress, &e.OperatorAddress, &e.PeerAddress, &e.AdminAddress); err != nil {
				return err
			}
			e.Process = newProcess(f.opts.Dir, f.programPath("tamarackd"), e.ID, "--config", f.filePath(e.ID+".ini"))
			f.Entries = append(f.Entries, e)
		}
	}
	return nil
}

// configurePlatform adds the platform, allocates its addresses, and writes its settings and those of the entry hosts.
func (f *Fleet) configurePlatform() error {
	var api string
	if err := assignFreeAddresses(&api, &f.platformControlAddress); err != nil {
		return err
	}
	f.PlatformURL = "http://" + api
	var hosts []string
	for _, t := range f.Targets {
		hosts = append(hosts, fmt.Sprintf("%s/%s@%s", t.DataCentre, t.Host, t.ControlAddress))
	}
	for _, e := range f.Entries {
		hosts = append(hosts, e.DataCentre+"/"+e.Host)
	}
	for _, dc := range f.opts.DataCentres {
		for i := range f.opts.VirtualPerDC {
			hosts = append(hosts, dc+"/"+virtualHostName(dc, i))
		}
	}
	config := fmt.Sprintf("[listen]\napi = %s\ncontrol = %s\n[platform]\nlist_lag = %s\nreboot_time = %s\nhosts = %s\n",
		api, f.platformControlAddress, f.opts.ListLag, f.opts.RebootTime, strings.Join(hosts, ", "))
	f.Platform = newProcess(f.opts.Dir, f.programPath("tamarack-platform"), "platform", "--config", f.filePath("platform.ini"))
	if err := f.writeFile("platform.ini", config); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := f.writeFile(e.ID+".ini", f.entryConfig(e)); err != nil {
			return err
		}
	}
	return nil
}

// entryConfig returns the settings file of an entry host.
func (f *Fleet) entryConfig(e *Entry) string {
	var peers []string
	for _, p := range f.Entries {
		if p != e {
			peers = append(peers, fmt.Sprintf("%s/%s@%s", p.DataCentre, p.ID, p.PeerAddress))
		}
	}
	profile, level := f.opts.Profile, f.opts.LogLevel
	if profile == "" {
		profile = "buffer"
	}
	if level == "" {
		level = "info"
	}
	limits := "[limits]\n"
	if f.opts.MemoryMB > 0 {
		limits += fmt.Sprintf("memory_mb = %d\n", f.opts.MemoryMB)
	}
	if f.opts.ReadTimeout > 0 {
		limits += fmt.Sprintf("read_timeout = %s\n", f.opts.ReadTimeout)
	}
	return fmt.Sprintf(`[entry]
id = %s
data_centre = %s
host = %s
host_incarnation = 1
[listen]
caller = %s
operator = %s
peer = %s
admin = %s
[platform]
url = %s
[peers]
addresses = %s
[security]
tls_cert = %s
tls_key = %s
tls_ca = %s
peer_token_file = %s
operator_tokens_file = %s
[policy]
profile = %s
move_hosts = %t
[telemetry]
log_level = %s
[shutdown]
lame_duck = 500ms
`, e.ID, e.DataCentre, e.Host, e.CallerAddress, e.OperatorAddress, e.PeerAddress, e.AdminAddress, f.PlatformURL, strings.Join(peers, ", "),
		f.certs.Cert, f.certs.Key, f.certs.CA, f.filePath("peer.token"), f.filePath("operators"), profile, !f.opts.FixedPools, level) + limits
}

// startProcesses starts the platform before the entry hosts, which read their state from it.
func (f *Fleet) startProcesses(ctx context.Context) error {
	if err := f.Platform.Start(); err != nil {
		return err
	}
	for _, t := range f.Targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	if err := waitListening(ctx, strings.TrimPrefix(f.PlatformURL, "http://")); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, e := range f.Entries {
		if err := f.WaitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Poll calls check until it returns nil. If ctx ends first, it returns the last error of check joined with that of ctx.
func Poll(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

func waitListening(ctx context.Context, address string) error {
	return Poll(ctx, func() error {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

// WaitReady waits until the entry host reports that it is ready. It fails as soon as the process has ended.
func (f *Fleet) WaitReady(ctx context.Context, e *Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := Poll(ctx, func() error {
		if !e.Running() {
			cancel()
			return errors.Wrapf(ErrRequestFailed, "%s ended; see %s", e.ID, e.LogPath)
		}
		resp, err := http.Get("http://" + e.AdminAddress + "/readyz")
		if err != nil {
			return err
		}
		if err := resp.Body.Close(); err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return errors.Wrapf(ErrRequestFailed, "%s is not ready: status %d", e.ID, resp.StatusCode)
		}
		return nil
	})
	return err
}

// Close ends every process of the fleet. Entry hosts stop gracefully; targets and the platform are killed.
func (f *Fleet) Close() error {
	var errs []error
	for _, e := range f.Entries {
		if e.Running() {
			// A process that was paused with SIGSTOP does not handle SIGTERM before it is resumed.
			errs = append(errs, e.Resume(), e.Stop(stopTimeout))
		}
	}
	for _, t := range f.Targets {
		errs = append(errs, t.Kill())
	}
	if f.Platform != nil {
		errs = append(errs, f.Platform.Kill())
	}
	return errors.Join(errs...)
}

// RunningProcesses returns the number of processes that have not ended.
func (f *Fleet) RunningProcesses() int {
	n := 0
	for _, p := range f.processes() {
		if p.Running() {
			n++
		}
	}
	return n
}

func (f *Fleet) processes() []*Process {
	all := []*Process{f.Platform}
	for _, t := range f.Targets {
		all = append(all, t.Process)
	}
	for _, e := range f.Entries {
		all = append(all, e.Process)
	}
	return all
}

// CallerURLs returns the base URLs of the entry hosts of a data centre, or of all if dc is empty.
func (f *Fleet) CallerURLs(dc string) []string {
	var urls []string
	for _, e := range f.Entries {
		if dc == "" || e.DataCentre == dc {
			urls = append(urls, e.CallerURL())
		}
	}
	return urls
}

// ControlAddresses returns the addresses of the control APIs of all targets.
func (f *Fleet) ControlAddresses() []string {
	var controls []string
	for _, t := range f.Targets {
		controls = append(controls, t.ControlAddress)
	}
	return controls
}

// postJSON posts v to a control API and expects a 2xx status.
func postJSON(address, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(ErrRequestFailed, err.Error())
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrRequestFailed, err.Error())
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(ErrRequestFailed, err.Error())
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRequestFailed, "%s%s: status %d", address, path, resp.StatusCode)
	}
	return nil
}

// SetPlatformFaults sets the faults that one data centre sees of the platform, or all data centres if dc is empty.
func (f *Fleet) SetPlatformFaults(dc string, faults memory.Faults) error {
	return postJSON(f.platformControlAddress, "/control/faults", platformserver.FaultsRequest{DataCentre: dc, Faults: faults})
}

// SetHostState changes the state of a host in the platform's list of hosts.
func (f *Fleet) SetHostState(state structs.HostState) error {
	return postJSON(f.platformControlAddress, "/control/hosts", state)
}

// SetFaults replaces the faults that the target injects into its answers.
func (t *Target) SetFaults(faults targetserver.Faults) error {
	return postJSON(t.ControlAddress, "/control/faults", faults)
}

// SilenceConnections makes the target's open connections carry no more data, for good, without closing them, as if a
// middlebox had dropped their state. New connections work.
func (t *Target) SilenceConnections() error {
	return postJSON(t.ControlAddress, "/control/silence", struct{}{})
}

// Counters reads the counters of the target, such as its executed and aborted requests.
func (t *Target) Counters() (targetserver.Counters, error) {
	var counters targetserver.Counters
	err := getJSON(t.ControlAddress, "/control/counters", &counters)
	return counters, err
}

// PlatformCounters reads the numbers of operations that reached the platform.
func (f *Fleet) PlatformCounters() (memory.Counters, error) {
	var counters memory.Counters
	err := getJSON(f.platformControlAddress, "/control/counters", &counters)
	return counters, err
}

// getJSON reads the answer of a control API into v.
func getJSON(address, path string, v any) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return errors.Wrap(ErrRequestFailed, err.Error())
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return errors.Wrap(ErrRequestFailed, err.Error())
	}
	return nil
}
