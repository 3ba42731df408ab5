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

// rejection is the reason why a request was refused before it was submitted.
type rejection struct {
	reason  core.Reason
	message string
}

// ResultBody is the JSON body of every answer except an executor's.
type ResultBody struct {
	RequestID    string      `json:"request_id"`
	Outcome      string      `json:"outcome"`
	Reason       core.Reason `json:"reason,omitempty"`
	Message      string      `json:"message,omitempty"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	Running      bool        `json:"running,omitempty"`
}

// newBodyRejection returns the rejection for an error in reading a request body.
func newBodyRejection(err error) *rejection {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &rejection{core.ReasonTooLarge, "the body is over " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return &rejection{core.ReasonBadRequest, "the body was cut off: " + err.Error()}
}

// statusByReason maps a reason of a NotRun outcome to its HTTP status. Other
// reasons have status 503.
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

// writeRejection answers a request that was refused.
func writeRejection(w http.ResponseWriter, id string, rej *rejection) {
	writeBody(w, chooseStatus(core.NotRun, rej.reason), ResultBody{
		RequestID: id, Outcome: core.NotRun.String(), Reason: rej.reason, Message: rej.message,
	})
}

// chooseStatus returns the HTTP status of an outcome without an executor's answer.
func chooseStatus(o core.Outcome, reason core.Reason) int {
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
	b := newResultBody(id, r)
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set(header.RetryAfter, strconv.FormatInt(seconds, 10))
	}
	writeBody(w, chooseStatus(r.Outcome, r.Reason), b)
}

// newResultBody returns the JSON body for a result.
func newResultBody(id string, r core.Result) ResultBody {
	return ResultBody{
		RequestID: id, Outcome: r.Outcome.String(), Reason: r.Reason,
		RetryAfterMS: r.RetryAfter.Milliseconds(), Running: r.Running,
	}
}

// writeState answers a query or a cancellation of an earlier request.
func writeState(w http.ResponseWriter, id string, r core.Result) {
	writeBody(w, http.StatusOK, newResultBody(id, r))
}

// writeBody writes the JSON body and the headers that repeat its fields.
func writeBody(w http.ResponseWriter, status int, b ResultBody) {
	setOutcome(w, b.RequestID, b.Outcome)
	w.Header().Set(header.Reason, string(b.Reason))
	jsonhttp.Write(w, status, b)
}

// setOutcome sets the headers for the request ID and the outcome.
func setOutcome(w http.ResponseWriter, id, outcome string) {
	w.Header().Set(header.RequestID, id)
	w.Header().Set(header.Outcome, outcome)
}

// writeAnswer forwards an executor's answer unchanged.
func writeAnswer(w http.ResponseWriter, id string, a *core.Answer) {
	header.AddAll(w.Header(), a.Header)
	setOutcome(w, id, core.Done.String())
	header.WriteResponse(w, a.Status, a.Trailer, a.Body)
}
