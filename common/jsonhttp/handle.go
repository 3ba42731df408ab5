package jsonhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// MaxMessage is the largest message that a handler reads, in bytes.
const MaxMessage = 8 << 20

// statusCoder is an error that names its HTTP status.
type statusCoder interface {
	StatusCode() int
}

// Handle serves pattern with a function from a typed question to a typed
// answer; an error with a StatusCode method chooses the status, others are 500.
func Handle[Q, A any](mux *http.ServeMux, pattern string, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if r.Method != http.MethodGet {
			body := http.MaxBytesReader(w, r.Body, MaxMessage)
			if err := json.NewDecoder(body).Decode(&q); err != nil {
				Write(w, http.StatusBadRequest, ErrorBody{Error: fmt.Sprintf("message of %s: %v", pattern, err)})
				return
			}
		}
		answer, err := f(r.Context(), q)
		if err != nil {
			writeError(w, err)
			return
		}
		Write(w, http.StatusOK, answer)
	})
}

// ErrorBody is the body of an answer that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var coder statusCoder
	if errors.As(err, &coder) {
		status = coder.StatusCode()
	}
	var detail interface{ ErrorDetail() any }
	if errors.As(err, &detail) {
		Write(w, status, detail.ErrorDetail())
		return
	}
	Write(w, status, ErrorBody{Error: err.Error()})
}

// Write sends v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone, which needs no answer.
	_, _ = w.Write(body)
}
