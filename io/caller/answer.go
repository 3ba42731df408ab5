package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"jacinthwind/common/header"
	"jacinthwind/common/jsonhttp"
	"jacinthwind/core"
)

// fault is why a request was refused before it was handed in.
type fault struct {
	reason  core.Reason
	message string
}

// Body is the JSON body of every answer that is not an executor's.
type Body struct {
	RequestID    string      `json:"request_id"`
	Outcome      string      `json:"outcome"`
	Reason       core.Reason `json:"reason,omitempty"`
	Message      string      `json:"message,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	Running      bool        `json:"running,omitempty"`
}

func bodyFault(err error) *fault {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &fault{core.ReasonTooLarge, "the body is over " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return &fault{core.ReasonBadRequest, "the body was cut off: " + err.Error()}
}

var statusByReason = map[core.Reason]int{
	core.ReasonBadRequest:     http.StatusBadRequest,
	core.ReasonBadID:          http.StatusBadRequest,
	core.ReasonIDFromFuture:   http.StatusBadRequest,
	core.ReasonDeadlinePassed: http.StatusRequestTimeout,
	core.ReasonKeyUnknown:     http.StatusUnauthorized,
	core.ReasonKeyMissing:     http.StatusUnauthorized,
	core.ReasonKeyWithdrawn:   http.StatusUnauthorized,
	core.ReasonQueueUnknown:   http.StatusNotFound,
	core.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	core.ReasonOverloaded:     http.StatusTooManyRequests,
	core.ReasonShed:           http.StatusTooManyRequests,
	core.ReasonCancelled:      http.StatusConflict,
}

func writeFault(w http.ResponseWriter, id string, f *fault) {
	writeBody(w, statusOf(core.NotRun, f.reason), Body{
		RequestID: id, Outcome: core.NotRun.String(), Reason: f.reason, Message: f.message,
	})
}

func statusOf(o core.Outcome, reason core.Reason) int {
	switch o {
	case core.Done:
		return http.StatusGone
	case core.NotRun:
		if status, ok := statusByReason[reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// writeResult answers a submitted request.
func writeResult(w http.ResponseWriter, id string, r core.Result) {
	if r.Outcome == core.Done && r.Answer != nil {
		writeAnswer(w, id, r.Answer)
		return
	}
	b := resultBody(id, r)
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set(header.RetryAfter, strconv.FormatInt(seconds, 10))
	}
	writeBody(w, statusOf(r.Outcome, r.Reason), b)
}

func resultBody(id string, r core.Result) Body {
	return Body{
		RequestID: id, Outcome: r.Outcome.String(), Reason: r.Reason,
		RetryAfterMS: r.RetryAfter.Milliseconds(), Running: r.Running,
	}
}

// writeState answers a call about an earlier request.
func writeState(w http.ResponseWriter, id string, r core.Result) {
	writeBody(w, http.StatusOK, resultBody(id, r))
}

func writeBody(w http.ResponseWriter, status int, b Body) {
	setOutcome(w, b.RequestID, b.Outcome)
	w.Header().Set(header.Reason, string(b.Reason))
	jsonhttp.Write(w, status, b)
}

func setOutcome(w http.ResponseWriter, id, outcome string) {
	w.Header().Set(header.RequestID, id)
	w.Header().Set(header.Outcome, outcome)
}

// writeAnswer passes an executor's answer through whole.
func writeAnswer(w http.ResponseWriter, id string, a *core.Answer) {
	header.Copy(w.Header(), a.Header)
	setOutcome(w, id, core.Done.String())
	header.WriteWhole(w, a.Status, a.Trailer, a.Body)
}
