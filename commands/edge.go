package commands

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthwind/common/eventlog"
	"jacinthwind/common/metrics"
	"jacinthwind/core/candidacy"
	"jacinthwind/core/event"
	"jacinthwind/edge"
	"jacinthwind/platform"
)

// Limits on the connections to each host.
const (
	// storeConns limits the idle connections to the store.
	storeConns = 8
	// orderConns limits the connections to an executor for orders.
	orderConns = 3
	// renewalConns limits the connections to an executor for lease renewals.
	renewalConns = 2
	// peerConns limits the idle connections to another entry node.
	peerConns = 16
	// vmOrderConns limits the connections for orders to VMs. An order takes some 12 ms,
	// and a large pool gets several hundred VMs in a second.
	vmOrderConns = 24
	// serviceConns limits the connections to each other service of the platform.
	serviceConns = 2
)

const (
	// slowLinkMbps is the bandwidth in Mbit/s below which messages between nodes are
	// compressed. The owner of 1,100 executors sends and receives 15 Mbit/s.
	slowLinkMbps = 10
	// bytesPerSOfMbps converts Mbit/s to bytes per second.
	bytesPerSOfMbps = 1e6 / 8
	// slowListVMsInterval is the time between two reads of the list of VMs over such a
	// link.
	slowListVMsInterval = 2 * time.Second
)

const (
	// heapPermille is the part of the process's memory, in thousandths, that the runtime
	// may use together with nonHeapBytes, the program itself and the C library.
	heapPermille = 875
	nonHeapBytes = 22 << 20
)

// memoryLimit returns the memory up to which the runtime puts off the collection of garbage in
// a process that may use the given memory.
func memoryLimit(processBytes int64) int64 {
	return max(processBytes/1000*heapPermille-nonHeapBytes, processBytes/2)
}

type edgeCommand struct{}

// Run runs the entry node until ctx is cancelled, then stops it gracefully. A
// second SIGINT or SIGTERM ends the process at once.
func (c *edgeCommand) Run(ctx context.Context) error {
	// A process that does not handle SIGHUP yet is ended by it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	memoryBytes := settings.Limits.MemoryMb << 20
	if memoryBytes > 0 {
		debug.SetMemoryLimit(memoryLimit(memoryBytes))
	}
	logWriter := eventlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	log := eventlog.New(zapcore.AddSync(logWriter))
	newClient := func(maxIdlePerHost, maxPerHost int) *http.Client {
		c := platform.NewHTTPClient(maxIdlePerHost, maxPerHost)
		platform.LogDiscards(c, log)
		return c
	}
	// An executor that starts again under its id takes what is left of earlier calls.
	newExecutorClient := func(conns int) *http.Client {
		c := newClient(conns, conns)
		platform.ResetOnClose(c)
		return c
	}
	peers := newClient(peerConns, 0)
	store := &platform.StoreClient{Address: settings.Platform.Address, Client: newClient(storeConns, 0)}
	relay := &edge.Relay{
		Direct: store.Direct, Probe: platform.ProbeCall(), Client: peers, Log: log,
		LinkBytesPerS: settings.Limits.LinkMbps * bytesPerSOfMbps,
	}
	store.SendCall = relay.SendCall
	kernelSettings := settings.Bounds.KernelSettings()
	kernelSettings.VMOrdersPerS = settings.CloudAPI.DutyPerS
	kernelSettings.MaxRecordBytes = settings.Platform.ValueBytes
	slowLink := settings.Limits.LinkMbps > 0 && settings.Limits.LinkMbps < slowLinkMbps
	if slowLink {
		kernelSettings.ListVMsInterval = slowListVMsInterval
	}
	cores := settings.Limits.CPUShare * settings.Limits.Cores
	process := edge.New(edge.Settings{
		Node: settings.Node, DataCentre: settings.Zone, Front: settings.Listen.Front, Ready: settings.Listen.Ready,
		Peer:                net.JoinHostPort(settings.IP, strconv.Itoa(settings.PortRange[0])),
		MaxConfigurationAge: settings.Bounds.MaxConfigurationAge(),
		Kernel:              kernelSettings, Cores: cores, Room: candidacy.Room{Cores: cores, LinkMbps: settings.Limits.LinkMbps},
		SlowLink: slowLink, MemoryBytes: memoryBytes, MaxFiles: settings.Limits.MaxFds,
	}, edge.Dependencies{
		Store: store,
		Executors: &platform.ExecutorClient{
			Client:        newExecutorClient(orderConns),
			RenewalClient: newExecutorClient(renewalConns),
		},
		VMs: &platform.VMClient{
			Address:    settings.CloudAPI.Address,
			Client:     newClient(vmOrderConns, vmOrderConns),
			ListClient: newClient(serviceConns, serviceConns),
		},
		Advisor: &platform.Advisor{Address: settings.Advice, Client: newClient(serviceConns, serviceConns)},
		Codec:   platform.Codec{}, Relay: relay, PeerClient: peers, Log: log,
		Metrics: &edge.CallMetrics{Metrics: metrics.New()},
	})
	go watchSettings(ctx, settings, hangups, log)
	go exitOnSecondSignal(ctx, logWriter)
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("run entry node: %w", err)
	}
	return nil
}

// exitOnSecondSignal waits until ctx is cancelled by the first signal, and
// exits the process on the next SIGINT or SIGTERM without waiting for the
// graceful stop.
func exitOnSecondSignal(ctx context.Context, logWriter *eventlog.Writer) {
	<-ctx.Done()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	logWriter.Close()
	os.Exit(ExitFailed)
}

// settingsPollInterval is how often the settings file is read if no SIGHUP
// arrives.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file periodically and on each of hangups, and logs
// changes and errors, and after SIGHUP also that nothing changed. The process
// keeps the settings that it was started with.
func watchSettings(ctx context.Context, current platform.Settings, hangups <-chan os.Signal, log *eventlog.Log) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangups:
			signalled = true
		}
		next, err := platform.ReadSettings()
		switch {
		case err != nil:
			log.Event(event.SettingsFault, zap.Error(err))
		case !reflect.DeepEqual(next, current):
			current = next
			log.Event(event.SettingsChanged, zap.Bool("signalled", signalled))
		case signalled:
			log.Event(event.SettingsSame)
		}
	}
}
