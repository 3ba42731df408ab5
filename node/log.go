package node

import (
	"sync/atomic"

	"go.uber.org/zap"

	"jacinthwind/core/event"
)

// eventLog logs numbered events and counts invariant violations.
type eventLog struct {
	zap        *zap.Logger
	violations atomic.Int64
}

// Write logs one event.
func (l *eventLog) Write(n event.Number, subject, detail string) {
	fields := []zap.Field{zap.Int("event", int(n)), zap.String("subject", subject), zap.String("detail", detail)}
	text := event.Catalogue[n]
	switch {
	case n.IsViolation():
		l.violations.Add(1)
		l.zap.Error(text, fields...)
	case n == event.RequestFault || n == event.AttemptLost:
		l.zap.Debug(text, fields...)
	default:
		l.zap.Info(text, fields...)
	}
}

// WriteNotes logs the events of a kernel's step.
func (l *eventLog) WriteNotes(notes []event.Note) {
	for _, n := range notes {
		l.Write(n.Number, n.Subject, n.Detail)
	}
}
