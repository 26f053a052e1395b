// Command lugward is the cluster scheduler's controller.
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
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lugward:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var settings, operator string
	root := &cobra.Command{
		Use:           "lugward --config FILE",
		Short:         "A cluster scheduler's controller: serves users and workers until it is killed",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			cfg, err := load(settings, operator)
			if err != nil {
				return err
			}
			return serve(cfg)
		},
	}
	root.PersistentFlags().StringVar(&settings, "config", "", "settings file of the platform (JSON)")
	root.PersistentFlags().StringVar(&operator, "operator", "", "operators' own settings (TOML)")
	root.AddCommand(versionCommand(), checkCommand(&settings, &operator))
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "lugward", version, runtime.Version())
		},
	}
}

// checkCommand reads the paths when it runs, after the flags have been parsed.
func checkCommand(settings, operator *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(*settings, *operator)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "settings of", cfg.Label, "are good")
			}
			return err
		},
	}
}

func load(settings, operator string) (*config.Platform, error) {
	if settings == "" {
		return nil, errors.New("--config FILE is required")
	}
	return config.Load(settings, operator)
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

// serve runs the controller until it is killed.
func serve(cfg *config.Platform) error {
	level, err := logLevel()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(log)
	limitRuntime(cfg.Settings.Resources.MemoryMB)
	for _, objective := range cfg.Settings.Objectives {
		if !objective.Known() {
			log.Info("objective of an unknown kind is ignored", "kind", objective.Kind, "class", objective.Class)
		}
	}
	start := time.Now()
	node := controller.New(cfg, log, func() time.Duration { return time.Since(start) })
	log.Info("starting", "label", cfg.Label, "bind", cfg.Bind)
	return engine.Run(context.Background(), engineConfig(cfg), node, log)
}

func engineConfig(cfg *config.Platform) engine.Config {
	ec := engine.Config{
		Bind:           cfg.Bind,
		PeerBind:       cfg.PeerBind,
		MaxConnections: cfg.Settings.Resources.MaxConnections,
	}
	for _, seed := range cfg.Seeds {
		ec.Peers = append(ec.Peers, seed.Endpoint)
	}
	return ec
}
