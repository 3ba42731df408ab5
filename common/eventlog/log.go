package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthwind/core/event"
)

// maxEventLinesPerSecond limits the lines of each event per second. It is about
// twice the number of runs that the busiest owner of 350 executors starts per
// second.
const maxEventLinesPerSecond = 2000

// Log writes numbered events and is safe for concurrent use.
type Log struct {
	zap *zap.Logger
	// Now returns the current time; time.Now is used if it is nil.
	Now func() time.Time

	mu      sync.Mutex
	second  int64
	written map[event.Number]int
	dropped map[event.Number]int
}

// New returns a Log that writes JSON lines to w.
func New(w zapcore.WriteSyncer) *Log {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	return &Log{zap: zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel))}
}

// Nop returns a Log that discards all events.
func Nop() *Log { return &Log{zap: zap.NewNop()} }

// Event writes one event, or drops it if the event has reached its limit in the
// current second.
func (l *Log) Event(n event.Number, fields ...zap.Field) {
	if !l.allowLine(n) {
		return
	}
	l.write(n, fields)
}

func (l *Log) write(n event.Number, fields []zap.Field) {
	level := zapcore.InfoLevel
	if n.IsWarning() {
		level = zapcore.WarnLevel
	}
	if entry := l.zap.Check(level, event.Catalogue[n]); entry != nil {
		entry.Write(append([]zap.Field{zap.Int("event", int(n))}, fields...)...)
	}
}

// allowLine reports whether a line of event n may be written now. On the first
// call in a new second it writes the number of lines of each event that were
// dropped since the previous count.
func (l *Log) allowLine(n event.Number) bool {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	second := now().Unix()
	l.mu.Lock()
	var dropped map[event.Number]int
	if second != l.second || l.written == nil {
		dropped = l.dropped
		l.second, l.written, l.dropped = second, map[event.Number]int{}, map[event.Number]int{}
	}
	l.written[n]++
	ok := l.written[n] <= maxEventLinesPerSecond
	if !ok {
		l.dropped[n]++
	}
	l.mu.Unlock()
	for number, count := range dropped {
		l.write(event.LinesDropped, []zap.Field{zap.Int("of", int(number)), zap.Int("count", count)})
	}
	return ok
}
