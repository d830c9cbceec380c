// Package daemon provides what the main functions of all daemons and tools share: the
// command line, signal handling, and HTTP servers as kernel services.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"

	"github.com/tamarackworks/tamarackworks/kernel"
)

// Exit codes of the daemons. exitUsage stands for an error of Setup, such as invalid settings.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// stopTimeout bounds a whole shutdown; services have shorter timeouts of their own.
const stopTimeout = 2 * time.Minute

// Args is the command line that all daemons share.
type Args struct {
	Config      string `arg:"--config,required" help:"settings file (INI)"`
	CheckConfig bool   `arg:"--check-config" help:"validate the settings and exit"`
}

// Setup reads the settings file and returns a kernel with the services of the process and the log. If checkOnly is set, it
// only validates the settings and returns neither.
type Setup func(configPath string, checkOnly bool) (*kernel.Kernel, log.Interface, error)

// Main parses the command line, runs the services until SIGTERM or SIGINT, and exits the process. SIGHUP reloads the
// settings.
func Main(setup Setup) {
	var args Args
	arg.MustParse(&args)
	os.Exit(run(args, setup))
}

// MainWithDefault is Main for programs whose settings file has a default path, so that --config is optional. If path is
// empty, it is required.
func MainWithDefault(path string, setup Setup) {
	if path == "" {
		Main(setup)
		return
	}
	var args struct {
		Config      string `arg:"--config" help:"settings file (INI)"`
		CheckConfig bool   `arg:"--check-config" help:"validate the settings and exit"`
	}
	args.Config = path
	arg.MustParse(&args)
	os.Exit(run(Args(args), setup))
}

// run runs the services until a signal stops them, and returns the exit code.
func run(args Args, setup Setup) int {
	k, logger, err := setup(args.Config, args.CheckConfig)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if args.CheckConfig {
		fmt.Println(args.Config + ": valid")
		return exitOK
	}
	defer flush(k)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	if err := k.Start(ctx); err != nil {
		logger.WithError(err).Error("start failed")
		return exitFailure
	}
	logger.Info("started")
	reloadOnHangup(ctx, hangup, k, logger)
	logger.Info("stopping")
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := k.Stop(stopCtx); err != nil {
		logger.WithError(err).Error("stopped with errors")
		return exitFailure
	}
	logger.Info("stopped")
	return exitOK
}

// Names under which programs provide functions that the daemon calls.
const (
	// ReloadName is the name of a func() error that reads the settings again.
	ReloadName = "daemon.reload"
	// FlushName is the name of a func(context.Context) error that writes buffered logs and spans.
	FlushName = "daemon.flush"
)

// flushTimeout bounds the flush when the process exits.
const flushTimeout = 2 * time.Second

// reloadOnHangup reloads the settings at each SIGHUP until ctx ends. If the reload fails, the services keep the settings
// they have.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, k *kernel.Kernel, logger log.Interface) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			reload, err := kernel.Lookup[func() error](k, ReloadName)
			if err == nil {
				err = reload()
			}
			if err != nil {
				logger.WithError(err).Warn("settings not reloaded")
				continue
			}
			logger.Info("settings reloaded")
		}
	}
}

// flush calls the function registered under FlushName and reports an error on standard error.
func flush(k *kernel.Kernel) {
	f, err := kernel.Lookup[func(context.Context) error](k, FlushName)
	if err != nil {
		// Programs that buffer nothing do not provide the function.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
