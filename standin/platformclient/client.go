// Package platformclient implements cloud.Platform over HTTP. It translates
// status codes and transport failures into the errors of package cloud.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamarackworks/tamarackworks/cloud"
	"github.com/tamarackworks/tamarackworks/structs"
)

const (
	// DefaultTimeout bounds one call if Options.Timeout is not set. An earlier deadline of the context applies too.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// HeaderDataCentre is the header with the data centre of the calling process.
	HeaderDataCentre = "Tamarack-Data-Centre"
)

// Options configure a Client.
type Options struct {
	// URL of the platform, for example http://127.0.0.1:7000.
	URL string
	// DataCentre of the calling process.
	DataCentre string
	// Timeout bounds one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport is used for all calls; nil means a new http.Transport.
	Transport http.RoundTripper
}

// Client implements cloud.Platform.
type Client struct {
	opts Options
	http *http.Client
}

var _ cloud.Platform = (*Client)(nil)

// New returns a client. It does not connect yet.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{opts: opts, http: &http.Client{Transport: opts.Transport}}
}

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	// in is sent as JSON, or inRaw as it is; both may be nil.
	in    any
	inRaw []byte
	// outRaw receives the body of the answer, or out the value decoded from its JSON; both may be nil.
	out    any
	outRaw *[]byte
	// write is set if the call changes something on the platform.
	write bool
}

// do carries out a call and returns an error that matches one of package cloud. A write without an
// answer is ambiguous only if its headers were sent; after a refused connection, for example, it is unavailable.
func (c *Client) do(ctx context.Context, cl call) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	body := cl.inRaw
	if cl.in != nil {
		var err error
		if body, err = json.Marshal(cl.in); err != nil {
			return errors.Wrap(cloud.ErrInvalid, err.Error())
		}
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, cl.method, c.opts.URL+cl.path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(cloud.ErrInvalid, err.Error())
	}
	req.Header.Set(HeaderDataCentre, c.opts.DataCentre)
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err, cl.write && sent.Load())
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return transportError(err, cl.write)
	}
	if len(answer) > maxResponseBytes && !cl.write {
		return cloud.ErrTooLarge
	}
	if err := statusError(resp.StatusCode, answer, cl.write); err != nil {
		return err
	}
	return decodeResponse(cl, answer)
}

func decodeResponse(cl call, answer []byte) error {
	if cl.outRaw != nil {
		*cl.outRaw = answer
		return nil
	}
	if cl.out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, cl.out); err != nil {
		return transportError(err, cl.write)
	}
	return nil
}

// transportError wraps the text of err in ErrAmbiguous or ErrUnavailable.
func transportError(err error, ambiguous bool) error {
	if ambiguous {
		return errors.Wrap(cloud.ErrAmbiguous, err.Error())
	}
	return errors.Wrap(cloud.ErrUnavailable, err.Error())
}

// statusError returns the error for a status code. A status other than those listed means ErrAmbiguous for
// writes and ErrUnavailable for reads.
func statusError(status int, body []byte, write bool) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return cloud.ErrNotFound
	case status == http.StatusConflict:
		return cloud.ErrConflict
	case status == http.StatusBadRequest:
		return errors.Wrap(cloud.ErrInvalid, string(body))
	case status == http.StatusServiceUnavailable:
		return cloud.ErrUnavailable
	}
	return transportError(errors.Errorf("unexpected status %d", status), write)
}

// Get implements cloud.Table.
func (c *Client) Get(ctx context.Context, key string) (cloud.Row, error) {
	var row cloud.Row
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/table/row?key=" + url.QueryEscape(key), out: &row})
	return row, err
}

// List implements cloud.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []cloud.Row
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/table/rows?" + query.Encode(), out: &rows})
	return rows, err
}

// CommitResponse is the answer to a committed transaction. Version is that of the rows written.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// Commit implements cloud.Table.
func (c *Client) Commit(ctx context.Context, txn cloud.Txn) (uint64, error) {
	var out CommitResponse
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/table/commit", in: txn, out: &out, write: true})
	return out.Version, err
}

func objectPath(key string) string { return "/v1/objects?key=" + url.QueryEscape(key) }

// PutObject implements cloud.Objects.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	return c.do(ctx, call{method: http.MethodPut, path: objectPath(key), inRaw: value, write: true})
}

// GetObject implements cloud.Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var value []byte
	err := c.do(ctx, call{method: http.MethodGet, path: objectPath(key), outRaw: &value})
	return value, err
}

// DeleteObject implements cloud.Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: objectPath(key), write: true})
}

// Hosts implements cloud.HostList.
func (c *Client) Hosts(ctx context.Context, dataCentre string) ([]structs.HostState, error) {
	var hosts []structs.HostState
	path := "/v1/hosts?data_centre=" + url.QueryEscape(dataCentre)
	err := c.do(ctx, call{method: http.MethodGet, path: path, out: &hosts})
	return hosts, err
}

// RebootRequest asks for the reboot of one incarnation of a host.
type RebootRequest struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Reboot implements cloud.Maintenance.
func (c *Client) Reboot(ctx context.Context, host string, incarnation uint64) error {
	in := RebootRequest{Host: host, Incarnation: incarnation}
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/reboot", in: in, write: true})
}

// TaskRequest asks for a change of one task. Lease is used by renewals only, On by throttling only.
type TaskRequest struct {
	ID    string        `json:"id"`
	Lease time.Duration `json:"lease,omitempty"`
	On    bool          `json:"on,omitempty"`
}

// CheckpointResponse is the answer to a checkpoint. Checkpoint names the object that holds it.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// StartTask implements cloud.Workers.
func (c *Client) StartTask(ctx context.Context, spec cloud.TaskSpec) error {
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/start", in: spec, write: true})
}

// RenewTask implements cloud.Workers.
func (c *Client) RenewTask(ctx context.Context, id string, lease time.Duration) error {
	in := TaskRequest{ID: id, Lease: lease}
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/renew", in: in, write: true})
}

// CheckpointTask implements cloud.Workers.
func (c *Client) CheckpointTask(ctx context.Context, id string) (string, error) {
	var out CheckpointResponse
	in := TaskRequest{ID: id}
	err := c.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/checkpoint", in: in, out: &out, write: true})
	return out.Checkpoint, err
}

// ThrottleTask implements cloud.Workers.
func (c *Client) ThrottleTask(ctx context.Context, id string, on bool) error {
	in := TaskRequest{ID: id, On: on}
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/throttle", in: in, write: true})
}

// StopTask implements cloud.Workers.
func (c *Client) StopTask(ctx context.Context, id string) error {
	return c.do(ctx, call{method: http.MethodPost, path: "/v1/tasks/stop", in: TaskRequest{ID: id}, write: true})
}

// Task implements cloud.Workers.
func (c *Client) Task(ctx context.Context, id string) (cloud.Task, error) {
	var task cloud.Task
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/tasks/one?id=" + url.QueryEscape(id), out: &task})
	return task, err
}

// Tasks implements cloud.Workers.
func (c *Client) Tasks(ctx context.Context, dataCentre string) ([]cloud.Task, error) {
	var tasks []cloud.Task
	path := "/v1/tasks?data_centre=" + url.QueryEscape(dataCentre)
	err := c.do(ctx, call{method: http.MethodGet, path: path, out: &tasks})
	return tasks, err
}
