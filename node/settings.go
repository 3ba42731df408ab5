package node

import (
	_ "embed" // For settingsSchema.
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"jacinthwind/common/defaults"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
)

// Settings holds the settings of one node. Zero fields take their defaults.
type Settings struct {
	Name            string `json:"name"`
	DataCentre      string `json:"data_centre"`
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// Store is the URL of the platform's key-value service.
	Store string `json:"store"`
	// Peers lists peer addresses of other nodes, which are asked for the store content
	// if the store is unreachable at startup.
	Peers []string `json:"peers,omitempty"`
	// LeaseMS is the time to live of the node's lease in milliseconds.
	LeaseMS int `json:"lease_ms,omitempty"`
	// ShutdownMS limits a graceful shutdown, in milliseconds.
	ShutdownMS int `json:"shutdown_ms,omitempty"`
	// BalancerNoticeMS is how long a stopping node still accepts requests, in
	// milliseconds, until the load balancer sees that it is not ready.
	BalancerNoticeMS int `json:"balancer_notice_ms,omitempty"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxHeldBytes limits the total size of the request bodies held at once.
	MaxHeldBytes int64 `json:"max_held_bytes,omitempty"`
	// DefaultDeadlineMS is the deadline of requests without one, in milliseconds from
	// their arrival.
	DefaultDeadlineMS int `json:"default_deadline_ms,omitempty"`
	// MaxDeadlineMS is the latest deadline that a request may ask for, in milliseconds
	// from its arrival.
	MaxDeadlineMS int `json:"max_deadline_ms,omitempty"`
	// TaskLeaseMS is how long a task may run without a renewal of its lease, in
	// milliseconds.
	TaskLeaseMS int `json:"task_lease_ms,omitempty"`
	// UsageIntervalMS is the time between two usage reports of a busy executor, in
	// milliseconds.
	UsageIntervalMS int `json:"usage_interval_ms,omitempty"`
	// ClockSkewMS is the maximum difference between the clocks of two VMs, in
	// milliseconds.
	ClockSkewMS int `json:"clock_skew_ms,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Default values of the settings.
const (
	DefaultLeaseMS           = 5_000
	DefaultShutdownMS        = 30_000
	DefaultBalancerNoticeMS  = 0
	DefaultMaxBodyBytes      = 1 << 20
	DefaultMaxHeldBytes      = 256 << 20
	DefaultDefaultDeadlineMS = 30_000
	DefaultMaxDeadlineMS     = 600_000
	DefaultLogLevel          = "info"
)

// WithDefaults returns s with every zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	defaults.Set(&s.LeaseMS, DefaultLeaseMS)
	defaults.Set(&s.ShutdownMS, DefaultShutdownMS)
	defaults.Set(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&s.MaxHeldBytes, DefaultMaxHeldBytes)
	defaults.Set(&s.DefaultDeadlineMS, DefaultDefaultDeadlineMS)
	defaults.Set(&s.MaxDeadlineMS, DefaultMaxDeadlineMS)
	defaults.Set(&s.TaskLeaseMS, int(scheduler.DefaultTaskLease.Milliseconds()))
	defaults.Set(&s.UsageIntervalMS, int(scheduler.DefaultUsageInterval.Milliseconds()))
	defaults.Set(&s.ClockSkewMS, int(scheduler.DefaultClockSkew.Milliseconds()))
	defaults.Set(&s.LogLevel, DefaultLogLevel)
	return s
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// schedulerSettings returns the settings of the scheduling kernels.
func (s *Settings) schedulerSettings(seed uint64) scheduler.Settings {
	return scheduler.Settings{
		TaskLease:     milliseconds(s.TaskLeaseMS),
		UsageInterval: milliseconds(s.UsageIntervalMS),
		ClockSkew:     milliseconds(s.ClockSkewMS),
		Seed:          seed,
	}
}

//go:embed settings.json
var settingsSchema []byte

// DecodeSettings decodes and validates settings. It returns every error as a
// finding that names the file.
func DecodeSettings(file string, data []byte) (Settings, config.Findings) {
	var s Settings
	findings := config.DecodeWithSchema(file, data, settingsSchema, &s)
	if len(findings) > 0 {
		return s, findings
	}
	addresses := map[string]string{
		"caller_address": s.CallerAddress, "peer_address": s.PeerAddress, "operator_address": s.OperatorAddress,
	}
	for _, path := range slices.Sorted(maps.Keys(addresses)) {
		if _, err := netip.ParseAddrPort(addresses[path]); err != nil {
			findings = append(findings, config.Finding{
				File: file, Path: path, Reason: fmt.Sprintf("%q is not an IP address with a port", addresses[path]),
			})
		}
	}
	for i, address := range s.Peers {
		if _, err := netip.ParseAddrPort(address); err != nil {
			findings = append(findings, config.Finding{
				File: file, Path: fmt.Sprintf("peers[%d]", i), Reason: fmt.Sprintf("%q is not an IP address with a port", address),
			})
		}
	}
	s = s.WithDefaults()
	if renewals := s.TaskLeaseMS / s.UsageIntervalMS; renewals < minRenewalsPerTaskLease {
		findings = append(findings, config.Finding{
			File: file, Path: "usage_interval_ms",
			Reason: fmt.Sprintf("leaves %d renewals in a task lease of %d ms, want %d", renewals, s.TaskLeaseMS, minRenewalsPerTaskLease),
		})
	}
	return s, findings
}

// minRenewalsPerTaskLease allows one renewal of a task lease to fail.
const minRenewalsPerTaskLease = 2
