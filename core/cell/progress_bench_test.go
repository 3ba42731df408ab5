package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthwind/core/fleet"
	"jacinthwind/core/job"
)

// BenchmarkStoredProgress measures the bytes of progress that are written for a scheduled job,
// and the largest record.
func BenchmarkStoredProgress(b *testing.B) {
	for _, size := range []struct{ occurrences, count int }{{144, 24}, {1440, 24}, {1000, 100}} {
		b.Run(fmt.Sprintf("%dx%d", size.occurrences, size.count), func(b *testing.B) {
			for b.Loop() {
				w := newWorld(b, 4)
				for _, x := range w.executors {
					x.Capacity, x.room = fleet.Vector{CPU: 64000, Mem: 131072}, fleet.Vector{CPU: 64000, Mem: 131072}
				}
				w.listExecutors()
				w.taskTime = func(string, int) (time.Duration, fleet.RunEnd) { return 100 * time.Millisecond, fleet.EndDone }
				w.advance(time.Second)
				j := simpleJob(1, size.count, 500)
				j.OccurrenceCount, j.StartMs, j.IntervalMs = size.occurrences, w.now.Milliseconds(), 30
				w.submitJob(j)
				for range 10 * size.occurrences {
					w.advance(100 * time.Millisecond)
					if w.jobState(j.ID).IsFinal() {
						break
					}
				}
				require.Equal(b, job.Succeeded, w.jobState(j.ID))
				b.ReportMetric(float64(w.progressBytes), "written_B/job")
				b.ReportMetric(float64(w.progressBytes)/float64(size.occurrences*size.count), "written_B/task")
				b.ReportMetric(float64(w.largestProgress), "largest_B")
			}
		})
	}
}
