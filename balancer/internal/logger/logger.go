// Package logger writes one line of key=value pairs for each event, to standard
// output, without ever making the program wait for the reader of its log.
package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"cranberryspan.dev/core/recorder"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait to be written. A reader that stalls
	// costs lines, never packets.
	queueLines = 512
	// LinesPerSecond and linesAtOnce bound the lines of a host. A line takes 2.3
	// microseconds to encode and queue, and a system call to write, so 100 a second
	// are far below a hundredth of a core.
	LinesPerSecond = 100
	linesAtOnce    = 300
	// tellEvery is how often the lines that were left out are counted in a line.
	tellEvery = time.Second
)

// Logger writes lines.
type Logger struct {
	core    zapcore.Core
	limiter *rate.Limiter
	lines   chan []byte
	out     io.Writer
	// left counts the lines that were left out since the last line about it.
	left    atomic.Uint64
	dropped atomic.Uint64
}

// New makes a Logger that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{limiter: rate.NewLimiter(LinesPerSecond, linesAtOnce), lines: make(chan []byte, queueLines), out: out}
	l.core = zapcore.NewCore(NewEncoder(), queue{l}, zapcore.InfoLevel)
	return l
}

// NewEncoder writes lines of key=value pairs.
func NewEncoder() zapcore.Encoder {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	return zaplogfmt.NewEncoder(encoding)
}

// Fields turns what decisions say into zap's fields.
func Fields(line recorder.Line) []zap.Field {
	fields := make([]zap.Field, 0, len(line.Fields))
	for _, f := range line.Fields {
		fields = append(fields, zap.String(f.Key, f.Value))
	}
	return fields
}

// queue takes the lines of zap's core.
type queue struct{ l *Logger }

// Write queues a line, or leaves it out if the queue is full.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.l.lines <- append([]byte(nil), line...):
	default:
		q.l.left.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Run writes what is queued before it ends.
func (queue) Sync() error { return nil }

// Allow reports whether there is room for a line that may be left out, and
// counts it if not.
func (l *Logger) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.left.Add(1)
	return false
}

// Write writes one line.
func (l *Logger) Write(event string, fields ...zap.Field) {
	entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), Message: event}
	if err := l.core.Write(entry, fields); err != nil {
		l.left.Add(1) // The line could not be encoded; the count shows it.
	}
}

// LeftOut is how many lines were left out since the start.
func (l *Logger) LeftOut() uint64 { return l.dropped.Load() + l.left.Load() }

// Run writes queued lines until the context ends and the queue is empty, and
// reports its end.
func (l *Logger) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(tellEvery)
		defer ticker.Stop()
		for {
			select {
			case line := <-l.lines:
				l.put(line)
			case <-ticker.C:
				l.tell()
			case <-ctx.Done():
				l.flush()
				end <- nil
				return
			}
		}
	}()
	return end
}

func (l *Logger) put(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.left.Add(1) // Nobody reads the log; there is nowhere to say so.
	}
}

func (l *Logger) tell() {
	if left := l.left.Swap(0); left > 0 {
		l.dropped.Add(left)
		l.Write("linesLeftOut", zap.Uint64("lines", left), zap.Uint64("total", l.dropped.Load()))
	}
}

func (l *Logger) flush() {
	for {
		select {
		case line := <-l.lines:
			l.put(line)
		default:
			return
		}
	}
}
