package edge

import (
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"jacinthwind/core"
	"jacinthwind/core/cell"
	"jacinthwind/core/estimate"
	"jacinthwind/core/event"
)

const (
	// estimatesDelay is how long after its claim an owner reads what earlier owners have
	// learnt: what keeps work going comes first.
	estimatesDelay = time.Second
	// estimatesAttempts limits the reads; without an answer run times are learnt anew.
	estimatesAttempts = 5
)

// loadEstimates passes what earlier owners have learnt of run times to the kernel, if it can be
// read.
func (h *host) loadEstimates() {
	for attempt := range estimatesAttempts {
		sleep(h.ctx, estimatesDelay<<attempt)
		item, err := h.store.Get(h.ctx, keyEstimates)
		switch {
		case h.ctx.Err() != nil || errors.Is(err, core.ErrNotFound):
			return
		case err != nil:
			continue
		}
		var s estimate.Stored
		if err := json.Unmarshal(item.Value, &s); err != nil {
			h.log.Event(event.EstimatesDropped, zap.Error(err))
			return
		}
		h.send(cell.EstimatesLoaded{Estimates: s})
		return
	}
}
