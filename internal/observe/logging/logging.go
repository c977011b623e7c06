// Package logging sets up the log.
package logging

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to w, and its level, which may be
// changed while the process runs. A level that is not known is an error.
func New(w io.Writer, level string) (log *zap.Logger, atomic zap.AtomicLevel, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "set up the log")
		}
	}()
	atomic, err = zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, atomic, err
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), atomic)
	return zap.New(core, zap.ErrorOutput(zapcore.Lock(zapcore.AddSync(w)))), atomic, nil
}
