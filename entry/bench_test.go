package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/tamarackworks/tamarackworks/admission"
	"github.com/tamarackworks/tamarackworks/router"
	"github.com/tamarackworks/tamarackworks/structs"
)

// plainForwarder passes requests to one target with net/http, without any checks.
func plainForwarder(address string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := http.NewRequestWithContext(hr.Context(), http.MethodPost, "http://"+address+"/work/match", bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		out.Header.Set(HeaderRequestID, "bench")
		resp, err := transport.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// echoTarget responds at once with the body of the request, with the headers that a target has to set.
func echoTarget(w http.ResponseWriter, hr *http.Request) {
	body, _ := io.ReadAll(hr.Body)
	w.Header().Set(HeaderRequestID, hr.Header.Get(HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// sendLoad sends n requests from concurrent callers and returns the rate and the 99th percentile of the
// response times. If perSecond is above 0, each request has a scheduled start, from which its time is measured.
func sendLoad(b *testing.B, client *http.Client, url string, callers, n int, perSecond float64) (float64, time.Duration) {
	b.Helper()
	times := make([]time.Duration, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	body := bytes.Repeat([]byte("x"), 512)
	start := time.Now()
	for range callers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				begin := time.Now()
				if perSecond > 0 {
					begin = start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
					time.Sleep(time.Until(begin))
				}
				req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
				req.Header = headers()
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Errorf("status %d, %v", resp.StatusCode, err)
					return
				}
				times[i] = time.Since(begin)
			}
		})
	}
	wg.Wait()
	rate := float64(n) / time.Since(start).Seconds()
	slices.Sort(times)
	return rate, times[n*99/100]
}

// BenchmarkEntryAgainstForwarder compares the entry handler with plainForwarder in alternating rounds of one
// run. It reports the median ratio of their rates and the median difference of their 99th percentiles. In a
// saturated closed loop a lower rate means longer times, so the percentiles are also compared at half of the
// forwarder's rate.
func BenchmarkEntryAgainstForwarder(b *testing.B) {
	const rounds = 7
	target := httptest.NewServer(http.HandlerFunc(echoTarget))
	defer target.Close()
	address := target.Listener.Addr().(*net.TCPAddr).String()
	for _, callers := range []int{64, 512} {
		b.Run(strconv.Itoa(callers), func(b *testing.B) {
			host := &structs.Host{Name: "a", Address: address, Slots: 1024, Connections: 1024}
			view := staticView{&structs.View{
				Services:         map[string]*structs.Service{"match": {Name: "match"}},
				TargetsByService: map[string][]*structs.Host{"match": {host}},
			}}
			admitted := admission.New(admission.Options{Slots: router.New(router.Options{Views: view}), Views: view})
			server, err := NewServer(Options{
				View: view.View, Admission: FromAdmission(admitted), Registerer: prometheus.NewRegistry(),
				Log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
			})
			assert.NilError(b, err)
			entry, plain := httptest.NewServer(server.Handler()), httptest.NewServer(plainForwarder(address))
			defer entry.Close()
			defer plain.Close()
			transport := &http.Transport{MaxIdleConnsPerHost: callers}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			n := max(b.N, 20*callers)
			var ratios, rates, p99Diffs, pacedP99Diffs, cpuRatios []float64
			url := entry.URL + "/v1/services/match/requests"
			for range rounds {
				before := cpuTime(b)
				plainRate, plainP99 := sendLoad(b, client, plain.URL, callers, n, 0)
				between := cpuTime(b)
				rate, p99 := sendLoad(b, client, url, callers, n, 0)
				cpuRatios = append(cpuRatios, float64(between-before)/float64(cpuTime(b)-between))
				ratios, rates = append(ratios, rate/plainRate), append(rates, rate)
				p99Diffs = append(p99Diffs, float64((p99-plainP99).Microseconds())/1000)
				_, plainP99 = sendLoad(b, client, plain.URL, callers, n, plainRate/2)
				_, p99 = sendLoad(b, client, url, callers, n, plainRate/2)
				pacedP99Diffs = append(pacedP99Diffs, float64((p99-plainP99).Microseconds())/1000)
			}
			b.ReportMetric(median(ratios), "rate-ratio")
			b.ReportMetric(median(cpuRatios), "cpu-ratio")
			b.ReportMetric(median(rates), "req/s")
			b.ReportMetric(median(p99Diffs), "p99-more-ms")
			b.ReportMetric(median(pacedP99Diffs), "paced-p99-more-ms")
		})
	}
}

// cpuTime returns the processor time of this process. The ratio of processor times varies less than that of
// rates when other processes use the machine. Like the rates it includes the callers and the target.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func median(v []float64) float64 {
	slices.Sort(v)
	return v[len(v)/2]
}
