package commands

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthwind/common/eventlog"
	"jacinthwind/common/metrics"
	"jacinthwind/core/event"
	"jacinthwind/edge"
	"jacinthwind/platform"
)

// Connections that are kept to each peer.
const (
	storeConns  = 8
	orderConns  = 3
	lookConns   = 2
	peerConns   = 16
	singleConns = 2
)

type edgeCommand struct{}

// Run implements the command; SIGTERM and SIGINT stop the process gracefully.
func (c *edgeCommand) Run(ctx context.Context) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	lines := eventlog.NewWriter(os.Stdout)
	defer lines.Close()
	log := eventlog.New(zapcore.AddSync(lines))
	peers := platform.NewHTTPClient(peerConns, 0)
	store := &platform.Store{Address: s.Platform.Address, Client: platform.NewHTTPClient(storeConns, 0)}
	relay := &edge.Relay{Direct: store.Direct, Probe: platform.ProbeCall(), Client: peers, Log: log}
	store.Carry = relay.Carry
	bounds := s.Bounds.Cell()
	bounds.VMOrdersPerS = s.CloudAPI.DutyPerS
	process := edge.New(edge.Settings{
		Node: s.Node, Front: s.Listen.Front, Ready: s.Listen.Ready,
		Peer:   net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		Bounds: bounds, Processor: s.Limits.CPUShare * s.Limits.Cores,
	}, edge.Dependencies{
		Store: store,
		Workers: &platform.Workers{
			Client: platform.NewHTTPClient(orderConns, orderConns),
			Looks:  platform.NewHTTPClient(lookConns, lookConns),
		},
		VMs:     &platform.Machines{Address: s.CloudAPI.Address, Client: platform.NewHTTPClient(singleConns, singleConns)},
		Advisor: &platform.Advisor{Address: s.Advice, Client: platform.NewHTTPClient(singleConns, singleConns)},
		Codec:   platform.Codec{}, Relay: relay, PeerClient: peers, Log: log,
		Figures: &edge.Figures{Metrics: metrics.New()},
	})
	go followSettings(ctx, s, log)
	go endAtSecondSignal(ctx, lines)
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// endAtSecondSignal ends a process that stops gracefully at once when it is told
// to stop again.
func endAtSecondSignal(ctx context.Context, lines *eventlog.Writer) {
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGINT, syscall.SIGTERM)
	<-again
	lines.Close()
	os.Exit(ExitFailed)
}

// settingsPoll is how often the settings file is read without a signal.
const settingsPoll = 5 * time.Second

// followSettings says when the settings file changes, by a signal or without;
// a running process keeps what it was started with.
func followSettings(ctx context.Context, present platform.Settings, log *eventlog.Log) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-hup:
			signalled = true
		}
		next, err := platform.ReadSettings()
		switch {
		case err != nil:
			log.Event(event.SettingsFault, zap.Error(err))
		case !reflect.DeepEqual(next, present):
			present = next
			log.Event(event.SettingsChanged, zap.Bool("signalled", signalled))
		case signalled:
			log.Event(event.SettingsSame)
		}
	}
}
