package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jacinthwind/common/header"
	"jacinthwind/core"
)

// parseDeadline reads the deadline, in milliseconds since the Unix epoch.
func (h *handler) parseDeadline(req *core.Request, hd http.Header, now time.Time) *rejection {
	text := hd.Get(header.Deadline)
	if text == "" {
		req.Deadline = now.Add(h.limits.DefaultDeadline)
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return &rejection{core.ReasonBadRequest, "deadline " + text + " is not a number of milliseconds since the Unix epoch"}
	}
	req.Deadline = time.UnixMilli(ms)
	switch left := req.Deadline.Sub(now); {
	case left <= 0:
		return &rejection{core.ReasonDeadlinePassed, fmt.Sprintf("the deadline passed %v ago", -left)}
	case left > h.limits.MaxDeadline:
		return &rejection{core.ReasonBadRequest, fmt.Sprintf("the deadline is %v away, the longest time is %v", left, h.limits.MaxDeadline)}
	}
	return nil
}
