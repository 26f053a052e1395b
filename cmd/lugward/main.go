// Command lugward is the cluster scheduler's controller.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"lugward/internal/config"
	"lugward/internal/core"
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
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "lugward", version, runtime.Version())
		},
	}, &cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(settings, operator)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "settings of", cfg.Label, "are good")
			}
			return err
		},
	})
	return root
}

func load(settings, operator string) (*config.Platform, error) {
	if settings == "" {
		return nil, fmt.Errorf("--config is required")
	}
	return config.Load(settings, operator)
}

func level() (slog.Level, error) {
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

func serve(cfg *config.Platform) error {
	lvl, err := level()
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lvl}))
	slog.SetDefault(log)
	// One thread of Go code: the machine gives one share of one core.
	runtime.GOMAXPROCS(1)
	const heapShare = 0.6 // the rest is for the runtime, stacks and buffers
	debug.SetMemoryLimit(int64(cfg.Settings.Resources.MemoryMB * heapShare * (1 << 20)))
	start := time.Now()
	node := core.New(cfg, log, func() time.Duration { return time.Since(start) })
	ec := engine.Config{Bind: cfg.Bind, PeerBind: cfg.PeerBind, MaxConnections: cfg.Settings.Resources.MaxConnections}
	for _, s := range cfg.Seeds {
		ec.Peers = append(ec.Peers, s.Endpoint)
	}
	for _, o := range cfg.Settings.Objectives {
		if !o.Known() {
			log.Info("objective of an unknown kind is ignored", "kind", o.Kind, "class", o.Class)
		}
	}
	log.Info("starting", "label", cfg.Label, "bind", cfg.Bind)
	return engine.Run(ec, node, log)
}
