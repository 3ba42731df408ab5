package eventlog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jacinthwind/core/event"
)

// budget is how many lines of one event a second may be written; about twice
// what the busiest owner of 350 executors starts in a second.
const budget = 2000

// Log writes numbered events.
type Log struct {
	zap *zap.Logger
	// Now reads the time; nil reads the system's clock.
	Now func() time.Time

	mu      sync.Mutex
	second  int64
	written map[event.Number]int
	dropped map[event.Number]int
}

// New returns a log that writes JSON lines to w.
func New(w zapcore.WriteSyncer) *Log {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	return &Log{zap: zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, zap.InfoLevel))}
}

// Nop returns a log that writes nothing.
func Nop() *Log { return &Log{zap: zap.NewNop()} }

// Event writes one event, unless its budget of this second is used up.
func (l *Log) Event(n event.Number, fields ...zap.Field) {
	if !l.take(n) {
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

// take reports whether a line of an event may be written now; at the begin of a
// second it writes what was dropped in the last.
func (l *Log) take(n event.Number) bool {
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
	ok := l.written[n] <= budget
	if !ok {
		l.dropped[n]++
	}
	l.mu.Unlock()
	for number, count := range dropped {
		l.write(event.LinesDropped, []zap.Field{zap.Int("of", int(number)), zap.Int("count", count)})
	}
	return ok
}
