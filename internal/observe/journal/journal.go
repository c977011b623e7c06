// Package journal creates the logger of the process and fields for its log lines.
package journal

import (
	"io"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to w, and its level, which may be changed
// while the process runs. It returns an error if the level is unknown.
func New(w io.Writer, level string) (log *zap.Logger, atomicLevel zap.AtomicLevel, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "set up the log")
		}
	}()
	atomicLevel, err = zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, atomicLevel, err
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(w)), atomicLevel)
	return zap.New(core, zap.ErrorOutput(zapcore.Lock(zapcore.AddSync(w)))), atomicLevel, nil
}
