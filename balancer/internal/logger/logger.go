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
	// queueCapacity bounds the lines that wait to be written. A reader that stalls
	// costs lines, never packets.
	queueCapacity = 512
	// LinesPerSecond and lineBurst bound the lines of a host. A line takes 2.3
	// microseconds to encode and queue, and a system call to write, so 100 a second
	// are far below a hundredth of a core.
	LinesPerSecond = 100
	lineBurst      = 300
	// dropReportInterval is how often the lines that were left out are counted in a line.
	dropReportInterval = time.Second
)

// Logger writes lines.
type Logger struct {
	core    zapcore.Core
	limiter *rate.Limiter
	lines   chan []byte
	out     io.Writer
	// unreportedDrops counts the lines that were left out since the last line about it.
	unreportedDrops atomic.Uint64
	reportedDrops   atomic.Uint64
}

// New makes a Logger that writes to out.
func New(out io.Writer) *Logger {
	l := &Logger{limiter: rate.NewLimiter(LinesPerSecond, lineBurst), lines: make(chan []byte, queueCapacity), out: out}
	l.core = zapcore.NewCore(NewEncoder(), queueWriter{l}, zapcore.InfoLevel)
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

// queueWriter takes the lines of zap's core.
type queueWriter struct{ logger *Logger }

// Write queues a line, or leaves it out if the queue is full.
func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.logger.lines <- append([]byte(nil), line...):
	default:
		q.logger.unreportedDrops.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Run writes what is queued before it ends.
func (queueWriter) Sync() error { return nil }

// Allow reports whether there is room for a line that may be left out, and
// counts it if not.
func (l *Logger) Allow() bool {
	if l.limiter.Allow() {
		return true
	}
	l.unreportedDrops.Add(1)
	return false
}

// Write writes one line.
func (l *Logger) Write(event string, fields ...zap.Field) {
	entry := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), Message: event}
	if err := l.core.Write(entry, fields); err != nil {
		l.unreportedDrops.Add(1) // The line could not be encoded; the count shows it.
	}
}

// Dropped is how many lines were left out since the start.
func (l *Logger) Dropped() uint64 { return l.reportedDrops.Load() + l.unreportedDrops.Load() }

// Run writes queued lines until the context ends and the queue is empty, and
// reports its end.
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
		l.unreportedDrops.Add(1) // Nobody reads the log; there is nowhere to say so.
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
