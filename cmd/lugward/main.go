// Command lugward runs one controller of the cluster scheduler. It serves users, workers
// and other controllers until the process is killed.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"lugward/internal/config"
	"lugward/internal/controller"
	"lugward/internal/engine"
)

import "C" // links the system C library, which the deployments require

// version can be set by the build with the linker flag -X.
var version = "dev"

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "lugward:", err)
		os.Exit(1)
	}
}

// longHelp is the description that --help prints above the commands and flags.
const longHelp = `Runs one controller of the cluster scheduler. A controller accepts jobs from users over
HTTP, schedules their tasks on machines that it provisions in the cloud, and stores its
state in the state service, a consensus-backed key-value store. Several controllers run
at the same time. One of them is the leader; if it fails, another controller becomes the
leader.

Logs are written to standard error. The environment variable LOG_LEVEL sets the lowest
level that is logged: error (the default), info or debug.`

// settingsFiles holds the paths of the settings files, as given by the flags.
type settingsFiles struct {
	platform string // JSON
	operator string // TOML; empty if not given
}

func newRootCommand() *cobra.Command {
	var files settingsFiles
	root := &cobra.Command{
		Use:           "lugward --config FILE",
		Short:         "Run a controller of the cluster scheduler until it is killed",
		Long:          longHelp,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cfg)
		},
	}
	root.PersistentFlags().StringVar(&files.platform, "config", "", "path of the platform settings file (JSON), required")
	root.PersistentFlags().StringVar(&files.operator, "operator", "", "path of the operator settings file (TOML); defaults apply if not given")
	root.AddCommand(newVersionCommand(), newCheckCommand(&files))
	return root
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "lugward", version, runtime.Version())
			return err
		},
	}
}

// newCheckCommand returns the check command. The command takes a pointer because files
// is only filled in when the flags are parsed, before RunE runs.
func newCheckCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Validate the settings files and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "settings of", cfg.Label, "are valid")
			return err
		},
	}
}

func (f *settingsFiles) load() (*config.Platform, error) {
	if f.platform == "" {
		return nil, errors.New("--config FILE is required")
	}
	return config.Load(f.platform, f.operator)
}

// logLevel returns the level that LOG_LEVEL sets, or the error level if it is unset or empty.
func logLevel() (slog.Level, error) {
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "error":
		return slog.LevelError, nil
	case "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("LOG_LEVEL %q is invalid: expected error, info or debug", v)
	}
}

// heapShare is the fraction of the controller's memory that the Go runtime may use. The rest
// is for the program itself, the C library, and the time until a collection has ended.
const heapShare = 0.75

// unreadShare is the fraction of the controller's memory that input of clients may take while
// their requests are incomplete. gnet's buffers take up to twice that.
const unreadShare = 0.05

const bytesPerMB = 1 << 20

// limitRuntime keeps the Go runtime within the controller's resources. The controller has
// a share of one core, so more than one thread running Go code would only add context
// switches.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMB))
}

// serve runs the controller until the process is killed or ctx is cancelled.
func serve(ctx context.Context, cfg *config.Platform) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(log)
	limitRuntime(cfg.Settings.Resources.MemoryMB)
	logUnknownObjectives(cfg, log)
	start := time.Now()
	stateMachine := controller.New(cfg, log, func() time.Duration { return time.Since(start) })
	log.Info("starting", "label", cfg.Label, "bind", cfg.Bind)
	return engine.Run(ctx, engineConfig(cfg), stateMachine, log)
}

func logUnknownObjectives(cfg *config.Platform, log *slog.Logger) {
	for _, objective := range cfg.Settings.Objectives {
		if !objective.Known() {
			log.Info("ignoring objective of unknown kind", "kind", objective.Kind, "class", objective.Class)
		}
	}
}

func engineConfig(cfg *config.Platform) engine.Config {
	peers := make([]string, len(cfg.Seeds))
	for i, seed := range cfg.Seeds {
		peers[i] = seed.Endpoint
	}
	return engine.Config{
		Bind:           cfg.Bind,
		PeerBind:       cfg.PeerBind,
		Peers:          peers,
		MaxConnections: cfg.Settings.Resources.MaxConnections,
		MaxUnreadBytes: int(cfg.Settings.Resources.MemoryMB * unreadShare * bytesPerMB),
	}
}
