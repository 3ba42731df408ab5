package jsonhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// MaxMessageBytes is the largest request body that a handler accepts.
const MaxMessageBytes = 8 << 20

// statusCoder is implemented by errors that choose the HTTP status of the
// response.
type statusCoder interface {
	StatusCode() int
}

// Handle registers f for pattern on mux. It decodes the request body into a Q,
// except for GET, and encodes the A that f returns. An error with a StatusCode
// method chooses the status of the response, any other error gives 500.
func Handle[Q, A any](mux *http.ServeMux, pattern string, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var query Q
		if r.Method != http.MethodGet {
			body := http.MaxBytesReader(w, r.Body, MaxMessageBytes)
			if err := json.NewDecoder(body).Decode(&query); err != nil {
				Write(w, http.StatusBadRequest, ErrorBody{Error: fmt.Sprintf("message of %s: %v", pattern, err)})
				return
			}
		}
		answer, err := f(r.Context(), query)
		if err != nil {
			writeError(w, err)
			return
		}
		Write(w, http.StatusOK, answer)
	})
}

// ErrorBody is the body of a response that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var withStatus statusCoder
	if errors.As(err, &withStatus) {
		status = withStatus.StatusCode()
	}
	var withDetail interface{ ErrorDetail() any }
	if errors.As(err, &withDetail) {
		Write(w, status, withDetail.ErrorDetail())
		return
	}
	Write(w, status, ErrorBody{Error: err.Error()})
}

// Write writes a response with the given status and v as its JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body)
}
