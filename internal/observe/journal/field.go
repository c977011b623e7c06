package journal

import "go.uber.org/zap"

// Error returns the log field "error" with the message of err. Unlike zap.Error, it omits
// the stack trace, which would make the lines logged per request too long. If err is nil,
// the field is left out.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is Error with the given key.
func NamedError(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}
