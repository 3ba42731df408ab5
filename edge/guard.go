package edge

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

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

// restartDelay is the pause before a loop that ended unexpectedly begins again.
const restartDelay = 200 * time.Millisecond

// keepRunning runs a loop until ctx ends. If it fails unexpectedly, it begins again.
func keepRunning(ctx context.Context, log *eventlog.Log, loop func(context.Context)) {
	for {
		err := guard(log, "run a loop of the process", func() error {
			loop(ctx)
			return nil
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, restartDelay)
	}
}
