// Command lugward is the cluster scheduler's controller. It serves users, workers and
// other controllers until it is killed.
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

import "C" // links the system's C library, as the deployments require

// version is set by the build where one is wanted.
var version = "dev"

func main() {
	if err := command().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "lugward:", err)
		os.Exit(1)
	}
}

// longHelp is what --help says besides the commands and flags.
const longHelp = `Runs one controller of the cluster scheduler: it takes jobs from users over HTTP,
schedules their tasks on machines that it provisions in the cloud, and stores its state
in a consensus-backed key-value store. Several controllers run at a time; one of them
is the leader, and another takes over if it fails.

The log goes to standard error. LOG_LEVEL is error (the default), info or debug.`

// settingsFiles are the paths of the settings, from the flags.
type settingsFiles struct {
	platform string // JSON
	operator string // TOML; empty: none
}

func command() *cobra.Command {
	var files settingsFiles
	root := &cobra.Command{
		Use:           "lugward --config FILE",
		Short:         "A cluster scheduler's controller: serves users and workers until it is killed",
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
	root.PersistentFlags().StringVar(&files.platform, "config", "", "settings file of the platform (JSON), required")
	root.PersistentFlags().StringVar(&files.operator, "operator", "", "operators' own settings (TOML); without it the defaults hold")
	root.AddCommand(versionCommand(), checkCommand(&files))
	return root
}

func versionCommand() *cobra.Command {
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

// checkCommand reads the paths when it runs, after the flags have been parsed.
func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := files.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "settings of", cfg.Label, "are good")
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

// logLevel reads LOG_LEVEL; without it only errors are logged.
func logLevel() (slog.Level, error) {
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "error":
		return slog.LevelError, nil
	case "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("LOG_LEVEL %q is none of error, info, debug", v)
	}
}

// heapShare is the part of the controller's memory that Go's heap may fill. The
// rest is for stacks, the network buffers and the C library.
const heapShare = 0.6

// limitRuntime keeps Go's runtime within the controller's resources: a share of
// one core, so more threads of Go code would only switch more often.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	const bytesPerMB = 1 << 20
	debug.SetMemoryLimit(int64(memoryMB * heapShare * bytesPerMB))
}

// serve runs the controller until it is killed, or the context is cancelled.
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
			log.Info("objective of an unknown kind is ignored", "kind", objective.Kind, "class", objective.Class)
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
	}
}
