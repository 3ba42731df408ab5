package node

import (
	_ "embed" // The schema is embedded.
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"jacinthwind/common/defaults"
	"jacinthwind/core/config"
	"jacinthwind/core/scheduler"
)

// Settings are the settings of one node; zero fields take defaults.
type Settings struct {
	Name            string `json:"name"`
	DataCentre      string `json:"data_centre"`
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// Store is the URL of the platform's key-value service.
	Store string `json:"store"`
	// Peers are peer addresses of other nodes, asked while the store cannot be
	// reached at the start.
	Peers []string `json:"peers,omitempty"`
	// LeaseMS is the time to live of the node's lease in milliseconds.
	LeaseMS int `json:"lease_ms,omitempty"`
	// ShutdownMS bounds a graceful stop in milliseconds.
	ShutdownMS int `json:"shutdown_ms,omitempty"`
	// BalancerNoticeMS is how long a stopping node still takes requests, so
	// that the balancer notices that it is not ready.
	BalancerNoticeMS int `json:"balancer_notice_ms,omitempty"`
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxHeldBytes bounds all request bodies held at once.
	MaxHeldBytes int64 `json:"max_held_bytes,omitempty"`
	// DefaultDeadlineMS is the time for requests that state none.
	DefaultDeadlineMS int `json:"default_deadline_ms,omitempty"`
	// MaxDeadlineMS is the longest time a request may ask for.
	MaxDeadlineMS int `json:"max_deadline_ms,omitempty"`
	// TaskLeaseMS is the time for which a task runs without renewal.
	TaskLeaseMS int `json:"task_lease_ms,omitempty"`
	// UsageIntervalMS is the time between two reports of a busy executor.
	UsageIntervalMS int `json:"usage_interval_ms,omitempty"`
	// ClockSkewMS bounds the difference of two machines' clocks.
	ClockSkewMS int `json:"clock_skew_ms,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Defaults of the settings.
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

// WithDefaults returns s with every unset field replaced by its default.
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

func milliseconds(ms int) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

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

// DecodeSettings reads settings from data and returns every fault with file as
// the place.
func DecodeSettings(file string, data []byte) (Settings, config.Findings) {
	var s Settings
	findings := config.DecodeWith(file, data, settingsSchema, &s)
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
	if renewals := s.TaskLeaseMS / s.UsageIntervalMS; renewals < minRenewals {
		findings = append(findings, config.Finding{
			File: file, Path: "usage_interval_ms",
			Reason: fmt.Sprintf("leaves %d renewals in a task lease of %d ms, want %d", renewals, s.TaskLeaseMS, minRenewals),
		})
	}
	return s, findings
}

// minRenewals lets one renewal of a task lease fail.
const minRenewals = 2
