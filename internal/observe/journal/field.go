package journal

import "go.uber.org/zap"

// Error is a field with the text of an error, without its stack: a line for each
// decision on a request must stay short. It is left out if there is no error.
func Error(err error) zap.Field { return NamedError("error", err) }

// NamedError is Error under another name.
func NamedError(name string, err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String(name, err.Error())
}
