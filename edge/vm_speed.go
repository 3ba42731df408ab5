package edge

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core/event"
)

const (
	// speedInterval is the time between two measurements of a VM's speed, and speedSamples the
	// number of those whose median counts.
	speedInterval = 400 * time.Millisecond
	speedSamples  = 3
	// speedWork is how many bytes are hashed to measure it: some tens of microseconds of work.
	speedWork = 32 << 10
	// slowVMSpeed is the share of its usual speed below which a VM counts as slow.
	slowVMSpeed = 0.5
)

// speedMeter measures how fast this VM computes, compared with the fastest that it has been. Others
// on its host, or a limit, may slow it down for a while. The zero value has its usual speed.
type speedMeter struct {
	mu      sync.Mutex
	fastest time.Duration
	recent  []time.Duration
	slow    bool
}

// run measures until ctx ends, and logs when the VM becomes slow and when it no longer is.
func (m *speedMeter) run(ctx context.Context, log *eventlog.Log) {
	work := make([]byte, speedWork)
	for ctx.Err() == nil {
		began := monotonicNow()
		h := fnv.New64a()
		_, _ = h.Write(work)
		work[0] = byte(h.Sum64())
		if speed, changed := m.record(monotonicNow() - began); changed {
			log.Event(event.VMSpeedChanged, zap.Float64("speed", speed))
		}
		sleep(ctx, speedInterval)
	}
}

// record records how long the work took. It returns the speed, and whether the VM has become slow
// or is no longer.
func (m *speedMeter) record(took time.Duration) (speed float64, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	took = max(took, time.Nanosecond)
	if m.fastest == 0 || took < m.fastest {
		m.fastest = took
	}
	if m.recent = append(m.recent, took); len(m.recent) > speedSamples {
		m.recent = m.recent[1:]
	}
	speed = m.current()
	slow := speed < slowVMSpeed
	changed, m.slow = slow != m.slow, slow
	return speed, changed
}

// current returns the speed as a share of the usual one.
func (m *speedMeter) current() float64 {
	if len(m.recent) < speedSamples {
		return 1
	}
	return float64(m.fastest) / float64(slices.Sorted(slices.Values(m.recent))[speedSamples/2])
}

// share returns the present speed as a share of the usual one.
func (m *speedMeter) share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current()
}
