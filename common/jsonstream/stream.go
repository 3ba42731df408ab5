package jsonstream

import (
	"bufio"
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthwind/common/jsonhttp"
)

const (
	// firstBufferBytes is the size of a stream's read buffer while its messages are
	// small.
	firstBufferBytes = 4 << 10
	// progressBytes limits one read, so that each part of a large message shows that the
	// peer is not silent: a read of a chunked body fills all of its buffer.
	progressBytes = 4 << 10
)

// Stream is one end of an exchange. One goroutine may send while another receives.
type Stream struct {
	write func(line []byte) error
	// abort ends pending and later reads and writes.
	abort    func()
	lines    *bufio.Scanner
	watchdog *time.Timer
	silence  atomic.Int64
	// ended is set once Receive has reported the end: a write may still succeed then, since
	// the sending side is closed by another goroutine.
	ended atomic.Bool
}

// ErrEnded is what Send returns once Receive has reported the end of the stream.
var ErrEnded = errors.New("the stream has ended")

// Options are the options of a stream that is opened.
type Options struct {
	// Answer limits the time until the peer accepts the stream.
	Answer time.Duration
	// Silence is how long the peer may be silent before the stream ends.
	Silence time.Duration
	// Compress compresses the messages of both sides.
	Compress bool
}

// encoding is the value of Content-Encoding for compressed streams.
const encoding = "deflate"

// newCompressor returns a function that compresses a message, so that the peer can
// decode it at once, and passes it to w.
func newCompressor(w io.Writer, flush func() error) (func([]byte) error, error) {
	c, err := flate.NewWriter(w, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress stream: %w", err)
	}
	return func(line []byte) error {
		if _, err := c.Write(line); err != nil {
			return err
		}
		if err := c.Flush(); err != nil {
			return err
		}
		return flush()
	}, nil
}

func newStream(body io.Reader, compressed bool, write func([]byte) error, abort func(), silence time.Duration) *Stream {
	s := &Stream{write: write, abort: sync.OnceFunc(abort)}
	received := io.Reader(watchedReader{s, body})
	if compressed {
		received = flate.NewReader(received)
	}
	s.lines = bufio.NewScanner(received)
	s.SetSilence(silence)
	s.lines.Buffer(make([]byte, 0, firstBufferBytes), jsonhttp.MaxMessageBytes)
	s.lines.Split(splitMessages)
	s.watchdog = time.AfterFunc(silence, s.abort)
	return s
}

// watchedReader reads the body of a stream; all that it reads shows that the peer is not
// silent.
type watchedReader struct {
	stream *Stream
	body   io.Reader
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), progressBytes)])
	if n > 0 {
		r.stream.watchdog.Reset(time.Duration(r.stream.silence.Load()))
	}
	return n, err
}

// splitMessages splits the received bytes into complete lines. The rest of a stream that
// ends within a message is none.
func splitMessages(data []byte, atEOF bool) (int, []byte, error) {
	if bytes.IndexByte(data, '\n') >= 0 {
		return bufio.ScanLines(data, atEOF)
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
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
// The peer may lose what was sent before the end: closing a connection while bytes of the
// peer are unread resets it.
func Accept(w http.ResponseWriter, r *http.Request, silence time.Duration) (*Stream, error) {
	c := http.NewResponseController(w)
	if err := c.EnableFullDuplex(); err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	w.Header().Set("Content-Type", "application/jsonl")
	write := func(line []byte) error {
		if _, err := w.Write(line); err != nil {
			return err
		}
		return c.Flush()
	}
	compressed := r.Header.Get("Content-Encoding") == encoding
	if compressed {
		w.Header().Set("Content-Encoding", encoding)
		var err error
		if write, err = newCompressor(w, c.Flush); err != nil {
			return nil, err
		}
	}
	w.WriteHeader(http.StatusOK)
	if err := c.Flush(); err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	abort := func() {
		// Both fail only if the connection is closed already.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return newStream(r.Body, compressed, write, abort, silence), nil
}

// Open sends a request to a handler that accepts streams. The stream ends with ctx,
// and once the peer has been silent for too long. Open returns a *jsonhttp.StatusError
// if the peer refuses the request.
func Open(ctx context.Context, client *http.Client, url string, o Options) (*Stream, error) {
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
	if o.Compress {
		r.Header.Set("Content-Encoding", encoding)
	}
	answer := time.AfterFunc(o.Answer, cancel)
	resp, err := client.Do(r)
	answer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	abort := func() {
		cancel()
		// The errors of an aborted stream carry no information.
		_ = out.Close()
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
	compressed := resp.Header.Get("Content-Encoding") == encoding
	if compressed {
		if write, err = newCompressor(out, func() error { return nil }); err != nil {
			abort()
			return nil, err
		}
	}
	return newStream(resp.Body, compressed, write, abort, o.Silence), nil
}

// Send sends a message. One that is too large for the peer is not sent, leaves the stream
// usable and gives a *SizeError. After Receive has reported the end it returns ErrEnded.
func (s *Stream) Send(v any) error { return s.SendWithin(v, jsonhttp.MaxMessageBytes) }

// SendWithin sends a message of less than the given number of bytes, and returns a
// *SizeError for a larger one.
func (s *Stream) SendWithin(v any, limit int) error {
	line, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message %T: %w", v, err)
	}
	if limit = min(limit, jsonhttp.MaxMessageBytes); len(line)+1 >= limit {
		return &SizeError{Bytes: len(line), Limit: limit}
	}
	if s.ended.Load() {
		return ErrEnded
	}
	return s.write(append(line, '\n'))
}

// Receive waits for the next message and decodes it into v. It returns an error at
// the end of the stream. A message that cannot be decoded leaves the stream usable
// and gives a *DecodeError.
func (s *Stream) Receive(v any) error {
	if !s.lines.Scan() {
		s.ended.Store(true)
		if err := s.lines.Err(); err != nil {
			return fmt.Errorf("receive message: %w", err)
		}
		return io.EOF
	}
	if err := json.Unmarshal(s.lines.Bytes(), v); err != nil {
		return &DecodeError{Err: err}
	}
	return nil
}

// SetSilence sets how long the peer may be silent after what it sends next.
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

// SizeError reports a message that is too large.
type SizeError struct{ Bytes, Limit int }

// Error returns the size of the message and the limit, in bytes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message has %d bytes, at most %d", e.Bytes, e.Limit)
}
