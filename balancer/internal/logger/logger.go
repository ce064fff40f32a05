// Package logger writes one line of key=value pairs per event to a writer. It never blocks
// the caller on a slow log reader.
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
	// queueCapacity limits the lines that wait to be written. If the log reader stalls,
	// lines are dropped, but no packets are delayed.
	queueCapacity = 512
	// LinesPerSecond and lineBurst limit the lines of a host. A line takes 2.3
	// microseconds to encode and queue, and a system call to write, so 100 per second
	// take far less than a hundredth of a core.
	LinesPerSecond = 100
	lineBurst      = 300
	// dropReportInterval is the interval between lines that report the number of dropped
	// lines.
	dropReportInterval = time.Second
)

// Logger queues log lines and writes them in the background.
type Logger struct {
	core    zapcore.Core
	limiter *rate.Limiter
	lines   chan []byte
	out     io.Writer
	// unreportedDrops counts the lines dropped since the last line that reported drops,
	// reportedDrops those before.
	unreportedDrops atomic.Uint64
	reportedDrops   atomic.Uint64
}

// New returns a Logger that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{limiter: rate.NewLimiter(LinesPerSecond, lineBurst), lines: make(chan []byte, queueCapacity), out: out}
	l.core = zapcore.NewCore(NewEncoder(), queueWriter{l}, zapcore.InfoLevel)
	return l
}

// NewEncoder returns an encoder of lines of key=value pairs.
func NewEncoder() zapcore.Encoder {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	return zaplogfmt.NewEncoder(encoding)
}

// Fields converts a line recorded by the core packages into zap fields.
func Fields(line recorder.Line) []zap.Field {
	fields := make([]zap.Field, 0, len(line.Fields))
	for _, f := range line.Fields {
		fields = append(fields, zap.String(f.Key, f.Value))
	}
	return fields
}

// queueWriter receives the encoded lines of zap's core.
type queueWriter struct{ logger *Logger }

// Write queues a line, or drops it if the queue is full.
func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.logger.lines <- append([]byte(nil), line...):
	default:
		q.logger.unreportedDrops.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Run writes all queued lines before it returns.
func (queueWriter) Sync() error { return nil }

// Allow reports whether the rate limit permits a line, and counts the line as dropped if
// not.
func (l *Logger) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.unreportedDrops.Add(1)
	return false
}

// Write queues one line, regardless of the rate limit.
func (l *Logger) Write(event string, fields ...zap.Field) {
	entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), Message: event}
	if err := l.core.Write(entry, fields); err != nil {
		l.unreportedDrops.Add(1) // The line could not be encoded; it shows only in the count.
	}
}

// Dropped returns the number of lines dropped since the start.
func (l *Logger) Dropped() uint64 { return l.reportedDrops.Load() + l.unreportedDrops.Load() }

// Run writes queued lines until the context is canceled and the queue is empty. The
// returned channel then receives nil.
func (l *Logger) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(dropReportInterval)
		defer ticker.Stop()
		for {
			select {
			case line := <-l.lines:
				l.writeLine(line)
			case <-ticker.C:
				l.reportDropped()
			case <-ctx.Done():
				l.flush()
				done <- nil
				return
			}
		}
	}()
	return done
}

func (l *Logger) writeLine(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.unreportedDrops.Add(1) // The log can't be written, so the error can't be logged either.
	}
}

func (l *Logger) reportDropped() {
	if unreportedDrops := l.unreportedDrops.Swap(0); unreportedDrops > 0 {
		l.reportedDrops.Add(unreportedDrops)
		l.Write("linesLeftOut", zap.Uint64("lines", unreportedDrops), zap.Uint64("total", l.reportedDrops.Load()))
	}
}

func (l *Logger) flush() {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(line)
		default:
			return
		}
	}
}
