package jsonstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthwind/common/jsonhttp"
)

// firstBufferBytes is the size of a stream's read buffer while its messages are
// small.
const firstBufferBytes = 4 << 10

// Stream is one end of an exchange. One goroutine may send while another receives.
type Stream struct {
	write func(line []byte) error
	// abort ends pending and later reads and writes.
	abort    func()
	lines    *bufio.Scanner
	watchdog *time.Timer
	silence  atomic.Int64
}

func newStream(body io.Reader, write func([]byte) error, abort func(), silence time.Duration) *Stream {
	s := &Stream{write: write, abort: sync.OnceFunc(abort), lines: bufio.NewScanner(body)}
	s.SetSilence(silence)
	s.lines.Buffer(make([]byte, 0, firstBufferBytes), jsonhttp.MaxMessageBytes)
	s.watchdog = time.AfterFunc(silence, s.abort)
	return s
}

// Refuse answers a request that would have become a stream with an error. The usual
// answer would wait for the end of the request's body.
func Refuse(w http.ResponseWriter, status int, reason string) {
	// Without full duplex the answer only comes late.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// Accept turns the request of a handler into a stream, which ends with the handler.
// It ends before that once the peer has been silent for the given time.
func Accept(w http.ResponseWriter, r *http.Request, silence time.Duration) (*Stream, error) {
	c := http.NewResponseController(w)
	if err := c.EnableFullDuplex(); err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	if err := c.Flush(); err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	write := func(line []byte) error {
		if _, err := w.Write(line); err != nil {
			return err
		}
		return c.Flush()
	}
	abort := func() {
		// Both fail only if the connection is closed already.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return newStream(r.Body, write, abort, silence), nil
}

// Open sends a request to a handler that accepts streams. The stream ends with ctx,
// and once the peer has been silent for the given time. Open returns a
// *jsonhttp.StatusError if the peer refuses the request.
func Open(ctx context.Context, client *http.Client, url string, silence time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	body, out := io.Pipe()
	// The transport waits for the end of the request's body, also after ctx has ended.
	context.AfterFunc(ctx, func() { _ = out.Close() })
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		cancel()
		return nil, err
	}
	r.Header.Set("Content-Type", "application/jsonl")
	answer := time.AfterFunc(silence, cancel)
	resp, err := client.Do(r)
	answer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	abort := func() {
		cancel()
		// The error of an aborted stream carries no information.
		_ = resp.Body.Close()
	}
	if resp.StatusCode != http.StatusOK {
		abort()
		return nil, &jsonhttp.StatusError{Code: resp.StatusCode}
	}
	write := func(line []byte) error {
		_, err := out.Write(line)
		return err
	}
	return newStream(resp.Body, write, abort, silence), nil
}

// Send sends a message.
func (s *Stream) Send(v any) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message %T: %w", v, err)
	}
	return s.write(append(line, '\n'))
}

// Receive waits for the next message and decodes it into v. It returns an error at
// the end of the stream. A message that cannot be decoded leaves the stream usable
// and gives a *DecodeError.
func (s *Stream) Receive(v any) error {
	if !s.lines.Scan() {
		if err := s.lines.Err(); err != nil {
			return fmt.Errorf("receive message: %w", err)
		}
		return io.EOF
	}
	s.watchdog.Reset(time.Duration(s.silence.Load()))
	if err := json.Unmarshal(s.lines.Bytes(), v); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}

// SetSilence sets how long the peer may be silent after its next message.
func (s *Stream) SetSilence(d time.Duration) { s.silence.Store(int64(d)) }

// Close ends the stream.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.abort()
}

// DecodeError reports a message that is not valid JSON of the expected form.
type DecodeError struct{ Err error }

// Error returns what is wrong with the message.
func (e *DecodeError) Error() string { return "decode message: " + e.Err.Error() }

// Unwrap returns the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }
