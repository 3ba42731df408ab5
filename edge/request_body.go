package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"jacinthwind/core/job"
)

const (
	// freeBodyBytes is the size up to which a body is read without a reservation.
	freeBodyBytes = 16 << 10
	// decodedStepBytes and decodedValueBytes are the memory that a step and any other value
	// take once they are decoded, and freeDecodedBytes what a job may take without a
	// reservation.
	decodedStepBytes  = 512
	decodedValueBytes = 16
	freeDecodedBytes  = 40 << 10
	// refusedBodyTime is how long the rest of a refused request is read, so that its
	// caller reads the answer.
	refusedBodyTime = time.Second
)

var (
	errBodyTooLarge = errors.New("read body of a request: too large")
	errNoBodyMemory = errors.New("read body of a request: no memory")
)

// readBody reads the body of a request of at most limit bytes. It returns how many bytes of
// the process's memory it has reserved, which the caller releases.
func (p *Process) readBody(r *http.Request, limit int64) (body []byte, reserved int64, err error) {
	declared := r.ContentLength
	if declared > limit {
		return nil, 0, errBodyTooLarge
	}
	if declared >= 0 {
		if declared > freeBodyBytes {
			if !p.memory.reserve(declared) {
				return nil, 0, errNoBodyMemory
			}
			reserved = declared
		}
		body = make([]byte, declared)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, reserved, fmt.Errorf("read body of a request: %w", err)
		}
		return body, reserved, nil
	}
	// A body of unknown length.
	body, err = io.ReadAll(io.LimitReader(r.Body, min(limit, freeBodyBytes)+1))
	switch {
	case err != nil:
		return nil, 0, fmt.Errorf("read body of a request: %w", err)
	case int64(len(body)) > limit:
		return nil, 0, errBodyTooLarge
	case len(body) <= freeBodyBytes:
		return body, 0, nil
	case !p.memory.reserve(limit):
		return nil, 0, errNoBodyMemory
	}
	whole := make([]byte, limit+1)
	for n := copy(whole, body); n < len(whole); {
		m, err := r.Body.Read(whole[n:])
		n += m
		switch {
		case err == io.EOF && n < len(whole):
			return whole[:n], limit, nil
		case err != nil && err != io.EOF:
			return nil, limit, fmt.Errorf("read body of a request: %w", err)
		}
	}
	return nil, limit, errBodyTooLarge
}

// decodedBytes returns an upper limit of the memory that a job takes beside its text, from the
// number of the values in its body.
func decodedBytes(body []byte) int64 {
	values := int64(bytes.Count(body, []byte{','})) + 1
	return min(values, job.MaxSteps)*decodedStepBytes + values*decodedValueBytes
}

// decodeJob decodes a caller's job. It returns how many bytes of the process's memory it has
// reserved, which the caller releases.
func (p *Process) decodeJob(id string, body []byte) (j *job.Job, reserved int64, err error) {
	if reserved = decodedBytes(body); reserved <= freeDecodedBytes {
		reserved = 0
	} else if !p.memory.reserve(reserved) {
		return nil, 0, errNoBodyMemory
	}
	j, err = p.codec.DecodeJob(id, body)
	return j, reserved, err
}

// refuseBody answers a request whose body was not read, and closes its connection.
func (p *Process) refuseBody(w http.ResponseWriter, conn *clientConn, err error) {
	w.Header().Set("Connection", "close")
	conn.beginBody(refusedBodyTime)
	switch {
	case errors.Is(err, errNoBodyMemory):
		p.refuseForMemory(w, refusedBodyMemory)
	case errors.Is(err, errBodyTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
