package edge

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"jacinthwind/common/eventlog"
	"jacinthwind/core/event"
)

// guard calls f and turns a panic into an error, so that one request or message that
// the code cannot handle does not end the process. It logs the panic with its stack.
func guard(log *eventlog.Log, what string, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			log.Event(event.PanicIsolated, zap.String("in", what), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			err = fmt.Errorf("%s: internal error: %v", what, p)
		}
	}()
	return f()
}
